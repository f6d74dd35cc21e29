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
        attempt = world_hosts.AttemptInFlight(host, effect, target)
        host.attempts[effect.call_id, effect.attempt] = attempt
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
                attempt, events.FailureReason.REFUSED, CONNECT_FAILURE_DELAY_US
            )
            return
        self._world.timeline.after(
            ONE_WAY_US, lambda: self._on_arrival(attempt)
        )

    def _on_arrival(self, attempt: world_hosts.AttemptInFlight) -> None:
        if attempt.ended:
            return
        if attempt.target.refusing_connections:
            self._fail_later(attempt, events.FailureReason.REFUSED, ONE_WAY_US)
            return
        if (
            self._world.disturbing
            and self._world.random.random() < REQUEST_LOSS_RATE
        ):
            self._fail_later(
                attempt, events.FailureReason.DISCONNECTED, ONE_WAY_US
            )
            return
        if attempt.target.failing:
            self._respond(attempt, 503, not_run=True)
            return
        attempt.request = fake_target.Request(
            on_start=lambda: self._record_execution(attempt),
            on_done=lambda: self._respond(attempt, 200, not_run=False),
        )
        attempt.target.enqueue(attempt.request)

    def _record_execution(self, attempt: world_hosts.AttemptInFlight) -> None:
        call = attempt.effect.call_id
        self._world.history.executions.append(
            history_lib.ObservedExecution(
                call,
                self._world.history.calls[call].key,
                attempt.target.address,
                self._world.timeline.now_us,
            )
        )

    def _respond(
        self, attempt: world_hosts.AttemptInFlight, status: int, not_run: bool
    ) -> None:
        deliver = functools.partial(
            self._deliver_response, attempt, status, not_run
        )
        if not self._world.disturbing:
            self._world.timeline.after(ONE_WAY_US, deliver)
            return
        draw = self._world.random.random()
        if (draw := draw - RESPONSE_LOSS_RATE) < 0:
            reason = events.FailureReason.DISCONNECTED
            self._fail_later(attempt, reason, ONE_WAY_US)
        elif (draw := draw - RESPONSE_MISMATCH_RATE) < 0:
            reason = events.FailureReason.MISMATCHED
            self._fail_later(attempt, reason, ONE_WAY_US)
        elif (draw := draw - RESPONSE_LATE_RATE) < 0:
            self._world.timeline.after(LATE_RESPONSE_US, deliver)
        else:
            self._world.timeline.after(ONE_WAY_US, deliver)
            if draw < RESPONSE_DUPLICATE_RATE:
                self._world.timeline.after(2 * ONE_WAY_US, deliver)

    def _deliver_response(
        self, attempt: world_hosts.AttemptInFlight, status: int, not_run: bool
    ) -> None:
        if attempt.ended:
            return
        attempt.answered = True
        report = events.LoadReport(
            attempt.target.in_flight, attempt.target.leaving
        )
        self._world.feed(
            attempt.host,
            lambda now_us: events.AttemptAnswered(
                now_us,
                attempt.effect.call_id,
                attempt.effect.attempt,
                status,
                not_run,
                report,
            ),
        )

    def _fail_later(
        self,
        attempt: world_hosts.AttemptInFlight,
        reason: events.FailureReason,
        delay_us: int,
    ) -> None:
        self._world.timeline.after(
            delay_us, lambda: self._fail(attempt, reason)
        )

    def _fail(
        self, attempt: world_hosts.AttemptInFlight, reason: events.FailureReason
    ) -> None:
        if attempt.ended:
            return
        attempt.ended = True
        key = (attempt.effect.call_id, attempt.effect.attempt)
        attempt.host.attempts.pop(key, None)
        self._world.feed(
            attempt.host,
            lambda now_us: events.AttemptFailed(
                now_us,
                attempt.effect.call_id,
                attempt.effect.attempt,
                reason,
                sent=reason is not events.FailureReason.REFUSED,
            ),
        )

    def cancel(self, host: world_hosts.Host, call: int, number: int) -> None:
        """Closes the connection of an attempt."""
        attempt = host.attempts.get((call, number))
        if attempt is None:
            return
        if attempt.request is not None:
            attempt.target.cancel(attempt.request)
        self._fail_later(attempt, events.FailureReason.CANCELLED, 0)

    def forward(
        self, host: world_hosts.Host, effect: effects.ForwardAnswer
    ) -> None:
        """Forwards a response to its caller."""
        attempt = host.attempts.get((effect.call_id, effect.attempt))
        response_to = None
        if attempt is not None and attempt.answered:
            response_to = attempt.effect.call_id
        if self._world.disturbing and attempt is not None:
            if self._world.random.random() < RESPONSE_TRUNCATION_RATE:
                self._fail_later(
                    attempt, events.FailureReason.TRUNCATED, FORWARD_DELAY_US
                )
                self._world.record_outcome(
                    host, effect.call_id, effects.Outcome.UNKNOWN, response_to
                )
                return
        self._world.record_outcome(
            host, effect.call_id, effect.outcome, response_to
        )
        if attempt is None:
            return
        attempt.ended = True
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
