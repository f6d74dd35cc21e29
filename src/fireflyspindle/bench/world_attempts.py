"""Simulated attempts: requests to targets and their responses."""

import functools
import random
from typing import Protocol

from fireflyspindle.bench import fake_target
from fireflyspindle.bench import history as history_lib
from fireflyspindle.bench import virtual
from fireflyspindle.bench import world_hosts
from fireflyspindle.core import effects
from fireflyspindle.core import events

ONE_WAY_US = 500
CONNECT_FAILURE_DELAY_US = 1_000
FORWARD_DELAY_US = 100
LATE_RESPONSE_US = 2_000_000
REQUEST_LOSS_RATE = 0.05
RESPONSE_LOSS_RATE = 0.05
RESPONSE_MISMATCH_RATE = 0.03
RESPONSE_LATE_RATE = 0.07
RESPONSE_DUPLICATE_RATE = 0.05
RESPONSE_TRUNCATION_RATE = 0.03


class World(Protocol):
    """Interface of `world.World` that attempts use."""

    timeline: virtual.Timeline
    random: random.Random
    history: history_lib.History
    targets: dict[str, fake_target.FakeTarget]
    disturbing: bool

    def feed(
        self, host: world_hosts.Host, make_event: virtual.EventFactory
    ) -> None:
        """Feeds an event to a gate host."""

    def record_outcome(
        self,
        host: world_hosts.Host,
        call: int,
        outcome: effects.Outcome,
        response_to: int | None,
    ) -> None:
        """Records the outcome that a caller received."""


class Attempts:
    """Executes the effects of gate hosts on attempts."""

    def __init__(self, world: World) -> None:
        self._world = world

    def send(
        self, host: world_hosts.Host, effect: effects.SendToTarget
    ) -> None:
        """Sends a request to a target."""
        target = self._world.targets[effect.target]
        sent = world_hosts.AttemptInFlight(host, effect, target)
        host.attempts[effect.call_id, effect.attempt] = sent
        self._world.history.sends.append(
            history_lib.ObservedSend(
                effect.call_id,
                host.name,
                effect.target,
                self._world.timeline.now_us,
            )
        )
        if target.refusing_connections:
            self._fail_later(
                sent, events.FailureReason.REFUSED, CONNECT_FAILURE_DELAY_US
            )
            return
        self._world.timeline.after(ONE_WAY_US, lambda: self._on_arrival(sent))

    def _on_arrival(self, sent: world_hosts.AttemptInFlight) -> None:
        if sent.ended:
            return
        if sent.target.refusing_connections:
            self._fail_later(sent, events.FailureReason.REFUSED, ONE_WAY_US)
            return
        if (
            self._world.disturbing
            and self._world.random.random() < REQUEST_LOSS_RATE
        ):
            self._fail_later(
                sent, events.FailureReason.DISCONNECTED, ONE_WAY_US
            )
            return
        if sent.target.failing:
            self._respond(sent, 503, not_run=True)
            return
        sent.request = fake_target.Request(
            on_start=lambda: self._record_execution(sent),
            on_done=lambda: self._respond(sent, 200, not_run=False),
        )
        sent.target.enqueue(sent.request)

    def _record_execution(self, sent: world_hosts.AttemptInFlight) -> None:
        call = sent.effect.call_id
        self._world.history.executions.append(
            history_lib.ObservedExecution(
                call,
                self._world.history.calls[call].key,
                sent.target.address,
                self._world.timeline.now_us,
            )
        )

    def _respond(
        self, sent: world_hosts.AttemptInFlight, status: int, not_run: bool
    ) -> None:
        report = functools.partial(
            self._deliver_response, sent, status, not_run
        )
        if not self._world.disturbing:
            self._world.timeline.after(ONE_WAY_US, report)
            return
        draw = self._world.random.random()
        if (draw := draw - RESPONSE_LOSS_RATE) < 0:
            reason = events.FailureReason.DISCONNECTED
            self._fail_later(sent, reason, ONE_WAY_US)
        elif (draw := draw - RESPONSE_MISMATCH_RATE) < 0:
            reason = events.FailureReason.MISMATCHED
            self._fail_later(sent, reason, ONE_WAY_US)
        elif (draw := draw - RESPONSE_LATE_RATE) < 0:
            self._world.timeline.after(LATE_RESPONSE_US, report)
        else:
            self._world.timeline.after(ONE_WAY_US, report)
            if draw < RESPONSE_DUPLICATE_RATE:
                self._world.timeline.after(2 * ONE_WAY_US, report)

    def _deliver_response(
        self, sent: world_hosts.AttemptInFlight, status: int, not_run: bool
    ) -> None:
        if sent.ended:
            return
        sent.answered = True
        report = events.LoadReport(sent.target.in_flight, sent.target.leaving)
        self._world.feed(
            sent.host,
            lambda now_us: events.AttemptAnswered(
                now_us,
                sent.effect.call_id,
                sent.effect.attempt,
                status,
                not_run,
                report,
            ),
        )

    def _fail_later(
        self,
        sent: world_hosts.AttemptInFlight,
        reason: events.FailureReason,
        delay_us: int,
    ) -> None:
        self._world.timeline.after(delay_us, lambda: self._fail(sent, reason))

    def _fail(
        self, sent: world_hosts.AttemptInFlight, reason: events.FailureReason
    ) -> None:
        if sent.ended:
            return
        sent.ended = True
        key = (sent.effect.call_id, sent.effect.attempt)
        sent.host.attempts.pop(key, None)
        self._world.feed(
            sent.host,
            lambda now_us: events.AttemptFailed(
                now_us,
                sent.effect.call_id,
                sent.effect.attempt,
                reason,
                sent=reason is not events.FailureReason.REFUSED,
            ),
        )

    def cancel(self, host: world_hosts.Host, call: int, attempt: int) -> None:
        """Closes the connection of an attempt."""
        sent = host.attempts.get((call, attempt))
        if sent is None:
            return
        if sent.request is not None:
            sent.target.cancel(sent.request)
        self._fail_later(sent, events.FailureReason.CANCELLED, 0)

    def forward(
        self, host: world_hosts.Host, effect: effects.ForwardAnswer
    ) -> None:
        """Forwards a response to its caller."""
        sent = host.attempts.get((effect.call_id, effect.attempt))
        response_to = None
        if sent is not None and sent.answered:
            response_to = sent.effect.call_id
        if self._world.disturbing and sent is not None:
            if self._world.random.random() < RESPONSE_TRUNCATION_RATE:
                self._fail_later(
                    sent, events.FailureReason.TRUNCATED, FORWARD_DELAY_US
                )
                self._world.record_outcome(
                    host, effect.call_id, effects.Outcome.UNKNOWN, response_to
                )
                return
        self._world.record_outcome(
            host, effect.call_id, effect.outcome, response_to
        )
        if sent is None:
            return
        sent.ended = True
        del host.attempts[effect.call_id, effect.attempt]
        self._world.timeline.after(
            FORWARD_DELAY_US,
            lambda: self._world.feed(
                host,
                lambda now_us: events.AttemptEnded(
                    now_us, effect.call_id, effect.attempt
                ),
            ),
        )
