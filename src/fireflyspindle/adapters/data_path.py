"""The data path: callers, targets and the calls between them."""

import asyncio
from collections.abc import Callable
import time
from typing import Protocol

from fireflyspindle import headers
from fireflyspindle import logs
from fireflyspindle import metrics as metrics_lib
from fireflyspindle.adapters import answers
from fireflyspindle.adapters import exchange as exchange_lib
from fireflyspindle.adapters import gate_server
from fireflyspindle.adapters import requests
from fireflyspindle.adapters import target_client
from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import steps as steps_lib

SETTLE_LIMIT_S = 5.0
POLL_S = 0.01


class Shell(Protocol):
    """What those who carry out effects need of the shell."""

    metrics: metrics_lib.Metrics

    def now_us(self) -> int:
        """Returns the monotonic time."""

    def submit(self, event: events.Event) -> None:
        """Feeds an event to the reducer."""

    def spawn(self, work: exchange_lib.Work) -> asyncio.Task[None]:
        """Starts a task."""


class DataPath:
    """Carries out the effects of calls and reports back as events.

    Attributes:
        exchanges: Calls in flight, by number.
        server: The callers' side.
        client: Connections to targets.
    """

    def __init__(
        self,
        shell: Shell,
        host_id: str,
        body_limits: requests.BodyLimits,
        connection_limits: target_client.ConnectionLimits | None = None,
        dialect: headers.Dialect = headers.OWN,
    ) -> None:
        self.exchanges: dict[int, exchange_lib.Exchange] = {}
        self._shell = shell
        self._dialect = dialect
        self.client = target_client.TargetClient(
            self, shell.spawn, shell.now_us, connection_limits, dialect
        )
        self.server = gate_server.GateServer(
            self, host_id, body_limits, dialect
        )

    async def start(self, address: str, accepting: bool = True) -> None:
        """Opens the callers' address.

        Args:
            address: "ip:port".
            accepting: Whether to accept connections at once.

        Raises:
            OSError: The address can't be opened.
        """
        await self.server.start(address, accepting)

    async def settle(self) -> None:
        """Waits until no request is half read and no call is in flight."""
        end_s = time.monotonic() + SETTLE_LIMIT_S
        while self.server.receiving or self.exchanges:
            if time.monotonic() > end_s:
                return
            await asyncio.sleep(POLL_S)

    async def close(self) -> None:
        """Closes every connection, after what is written."""
        await self.server.close()
        self.client.close()

    def now_us(self) -> int:
        """Returns the monotonic time."""
        return self._shell.now_us()

    def submit(self, event: events.Event) -> None:
        """Feeds an event to the reducer."""
        self._shell.submit(event)

    def spawn(self, work: exchange_lib.Work) -> asyncio.Task[None]:
        """Starts a task."""
        return self._shell.spawn(work)

    def open(
        self, exchange: exchange_lib.Exchange, event: events.CallArrived
    ) -> None:
        """Takes in a call."""
        self.exchanges[exchange.call_id] = exchange
        self._shell.submit(event)

    def on_refused(self, error: str) -> None:
        """Counts a request that was refused before it was a call."""
        self._shell.metrics.errors[error] += 1

    def send(self, effect: effects.SendToTarget) -> None:
        """Sends an attempt of a call to a target."""
        if effect.attempt > 1:
            self._shell.metrics.counts[
                "hedge" if effect.hedge else "retry"
            ] += 1
        exchange = self.exchanges[effect.call_id]
        # A published rule may say otherwise than the request's method.
        exchange.repeatable = effect.repeatable
        self.client.begin(exchange, effect)

    def answer(self, effect: effects.AnswerCaller) -> None:
        """Answers a caller from the gate itself."""
        self._shell.metrics.errors[effect.error] += 1
        answers.answer(self.exchanges[effect.call_id], effect)

    def on_response(self, attempt: target_client.Attempt) -> None:
        """Takes the head of a target's answer."""
        response = attempt.response
        assert response is not None
        response_headers = response.message.headers
        self._shell.submit(
            events.AttemptAnswered(
                now_us=self._shell.now_us(),
                call_id=attempt.exchange.call_id,
                attempt=attempt.number,
                status=response.message.code,
                not_run=self._dialect.not_run in response_headers,
                report=self._dialect.read_load(response_headers),
            )
        )

    def on_failed(
        self, attempt: target_client.Attempt, reason: events.FailureReason
    ) -> None:
        """Takes the end of an attempt without a whole answer."""
        attempt.ended = True
        self._shell.submit(
            events.AttemptFailed(
                now_us=self._shell.now_us(),
                call_id=attempt.exchange.call_id,
                attempt=attempt.number,
                reason=reason,
                sent=attempt.sent,
            )
        )

    def forward(self, effect: effects.ForwardAnswer) -> None:
        """Carries a target's answer to the caller."""
        exchange = self.exchanges[effect.call_id]
        attempt = exchange.attempts[effect.attempt]
        relay = answers.Relay(exchange, attempt)
        if relay.begin(effect.outcome):
            self._finish_attempt(attempt)
            return
        attempt.relaying = True
        attempt.tasks.append(self._shell.spawn(self._relay(relay, attempt)))

    async def _relay(
        self, relay: answers.Relay, attempt: target_client.Attempt
    ) -> None:
        complete = await relay.run()
        if attempt.ended:
            return
        if complete:
            self._finish_attempt(attempt)
            return
        attempt.abort()
        self.on_failed(attempt, events.FailureReason.TRUNCATED)

    def _finish_attempt(self, attempt: target_client.Attempt) -> None:
        attempt.release()
        self._shell.submit(
            events.AttemptEnded(
                self._shell.now_us(), attempt.exchange.call_id, attempt.number
            )
        )

    def cancel(self, effect: effects.CancelAttempt) -> None:
        """Cancels an attempt, or lets a non-repeatable one run to its end."""
        exchange = self.exchanges[effect.call_id]
        attempt = exchange.attempts[effect.attempt]
        if attempt.ended:
            return
        if attempt.relaying and exchange.caller is not None:
            exchange.abort_caller()
            if not exchange.repeatable:
                return
        if attempt.response is None or attempt.relaying:
            attempt.abort()
        elif attempt.response.payload.is_eof():
            attempt.release()
        elif exchange.repeatable:
            attempt.abort()
        else:
            self._shell.spawn(answers.discard(attempt))
        self.on_failed(attempt, events.FailureReason.CANCELLED)

    def finish(self, effect: effects.CallFinished) -> None:
        """Drops and records a call that has ended."""
        exchange = self.exchanges.pop(effect.call_id)
        exchange.attempts.clear()
        self._shell.metrics.on_call_finished(effect)
        possibly_executed = (
            effect.outcome is effects.Outcome.UNKNOWN
            and not exchange.repeatable
        )
        notable = effect.steps.kept and (
            effect.late
            or effect.attempts != 1
            or effect.outcome is not effects.Outcome.COMPLETE
        )
        if possibly_executed:
            _log_call(logs.logger.warning, exchange.request_id, effect)
        elif notable:
            _log_call(logs.logger.info, exchange.request_id, effect)
        elif logs.enabled("DEBUG"):
            _log_call(logs.logger.debug, exchange.request_id, effect)


def _log_call(
    log: Callable[..., None], request_id: str, effect: effects.CallFinished
) -> None:
    decision_fields = {}
    if effect.steps.kept:
        decision_fields = {
            "route": effect.route,
            "late": effect.late,
            "steps": steps_lib.as_data(effect.steps),
            "steps_left_out": effect.steps.left_out,
        }
    log(
        "call finished",
        code="call",
        request_id=request_id,
        tenant=effect.tenant,
        traffic_class=effect.traffic_class,
        target=effect.target,
        outcome=effect.outcome.value,
        total_us=effect.total_us,
        target_us=effect.target_us,
        attempts=effect.attempts,
        **decision_fields,
    )
