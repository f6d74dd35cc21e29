"""Simulated attempts: requests to targets and their responses."""

import functools
import random
from typing import Protocol

from fireflyspindle.bench import fake_target
from fireflyspindle.bench import history as history_lib
from fireflyspindle.bench import simulated_hosts
from fireflyspindle.bench import virtual
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


class SimulatedSystem(Protocol):
    """The part of `simulation.Simulation` that `Attempts` uses."""

    timeline: virtual.Timeline
    random: random.Random
    history: history_lib.History
    targets: dict[str, fake_target.FakeTarget]
    response_faults: bool

    def feed(
        self, host: simulated_hosts.Host, make_event: virtual.EventFactory
    ) -> None:
        """Feeds an event to a gate host."""

    def record_outcome(
        self,
        host: simulated_hosts.Host,
        call: int,
        outcome: effects.Outcome,
        response_to: int | None,
    ) -> None:
        """Records the outcome that a caller received."""


class Attempts:
    """Executes the effects of gate hosts that concern attempts."""

    def __init__(self, simulation: SimulatedSystem) -> None:
        self._simulation = simulation

    def send(
        self, host: simulated_hosts.Host, effect: effects.SendToTarget
    ) -> None:
        """Sends a request to a target."""
        target = self._simulation.targets[effect.target]
        attempt = simulated_hosts.AttemptInFlight(host, effect, target)
        host.attempts[effect.call_id, effect.attempt] = attempt
        self._simulation.history.sends.append(
            history_lib.ObservedSend(
                effect.call_id,
                host.name,
                effect.target,
                self._simulation.timeline.now_us,
            )
        )
        if target.refusing_connections:
            self._fail_later(
                attempt, events.FailureReason.REFUSED, CONNECT_FAILURE_DELAY_US
            )
            return
        self._simulation.timeline.after(
            ONE_WAY_US, lambda: self._on_arrival(attempt)
        )

    def _on_arrival(self, attempt: simulated_hosts.AttemptInFlight) -> None:
        if attempt.ended:
            return
        if attempt.target.refusing_connections:
            self._fail_later(attempt, events.FailureReason.REFUSED, ONE_WAY_US)
            return
        if (
            self._simulation.response_faults
            and self._simulation.random.random() < REQUEST_LOSS_RATE
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

    def _record_execution(
        self, attempt: simulated_hosts.AttemptInFlight
    ) -> None:
        call = attempt.effect.call_id
        self._simulation.history.executions.append(
            history_lib.ObservedExecution(
                call,
                self._simulation.history.calls[call].key,
                attempt.target.address,
                self._simulation.timeline.now_us,
            )
        )

    def _respond(
        self,
        attempt: simulated_hosts.AttemptInFlight,
        status: int,
        not_run: bool,
    ) -> None:
        deliver = functools.partial(
            self._deliver_response, attempt, status, not_run
        )
        if not self._simulation.response_faults:
            self._simulation.timeline.after(ONE_WAY_US, deliver)
            return
        draw = self._simulation.random.random()
        if (draw := draw - RESPONSE_LOSS_RATE) < 0:
            reason = events.FailureReason.DISCONNECTED
            self._fail_later(attempt, reason, ONE_WAY_US)
        elif (draw := draw - RESPONSE_MISMATCH_RATE) < 0:
            reason = events.FailureReason.MISMATCHED
            self._fail_later(attempt, reason, ONE_WAY_US)
        elif (draw := draw - RESPONSE_LATE_RATE) < 0:
            self._simulation.timeline.after(LATE_RESPONSE_US, deliver)
        else:
            self._simulation.timeline.after(ONE_WAY_US, deliver)
            if draw < RESPONSE_DUPLICATE_RATE:
                self._simulation.timeline.after(2 * ONE_WAY_US, deliver)

    def _deliver_response(
        self,
        attempt: simulated_hosts.AttemptInFlight,
        status: int,
        not_run: bool,
    ) -> None:
        if attempt.ended:
            return
        attempt.answered = True
        report = events.LoadReport(
            attempt.target.in_flight, attempt.target.leaving
        )
        self._simulation.feed(
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
        attempt: simulated_hosts.AttemptInFlight,
        reason: events.FailureReason,
        delay_us: int,
    ) -> None:
        self._simulation.timeline.after(
            delay_us, lambda: self._fail(attempt, reason)
        )

    def _fail(
        self,
        attempt: simulated_hosts.AttemptInFlight,
        reason: events.FailureReason,
    ) -> None:
        if attempt.ended:
            return
        attempt.ended = True
        key = (attempt.effect.call_id, attempt.effect.attempt)
        attempt.host.attempts.pop(key, None)
        self._simulation.feed(
            attempt.host,
            lambda now_us: events.AttemptFailed(
                now_us,
                attempt.effect.call_id,
                attempt.effect.attempt,
                reason,
                sent=reason is not events.FailureReason.REFUSED,
            ),
        )

    def cancel(
        self, host: simulated_hosts.Host, call: int, number: int
    ) -> None:
        """Closes the connection of an attempt."""
        attempt = host.attempts.get((call, number))
        if attempt is None:
            return
        if attempt.request is not None:
            attempt.target.cancel(attempt.request)
        self._fail_later(attempt, events.FailureReason.CANCELLED, 0)

    def forward(
        self, host: simulated_hosts.Host, effect: effects.ForwardAnswer
    ) -> None:
        """Forwards a response to its caller."""
        attempt = host.attempts.get((effect.call_id, effect.attempt))
        response_to = None
        if attempt is not None and attempt.answered:
            response_to = attempt.effect.call_id
        if self._simulation.response_faults and attempt is not None:
            if self._simulation.random.random() < RESPONSE_TRUNCATION_RATE:
                self._fail_later(
                    attempt, events.FailureReason.TRUNCATED, FORWARD_DELAY_US
                )
                self._simulation.record_outcome(
                    host, effect.call_id, effects.Outcome.UNKNOWN, response_to
                )
                return
        self._simulation.record_outcome(
            host, effect.call_id, effect.outcome, response_to
        )
        if attempt is None:
            return
        attempt.ended = True
        del host.attempts[effect.call_id, effect.attempt]
        self._simulation.timeline.after(
            FORWARD_DELAY_US,
            lambda: self._simulation.feed(
                host,
                lambda now_us: events.AttemptEnded(
                    now_us, effect.call_id, effect.attempt
                ),
            ),
        )
