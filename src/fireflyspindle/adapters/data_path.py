"""The data path: executes the effects of calls on connections."""

import asyncio
from collections.abc import Callable
import time
from typing import Protocol

from aiohttp import http

from fireflyspindle import headers
from fireflyspindle import logs
from fireflyspindle import metrics as metrics_lib
from fireflyspindle.adapters import exchange as exchange_lib
from fireflyspindle.adapters import gate_server
from fireflyspindle.adapters import requests
from fireflyspindle.adapters import responses
from fireflyspindle.adapters import target_client
from fireflyspindle.core import caller_budget
from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import steps as steps_lib

SETTLE_LIMIT_S = 5.0
POLL_S = 0.01
# Callers on the users' platform choose ids of any length.
LOGGED_ID_CHARACTERS = 200


class Shell(Protocol):
    """The part of the shell that the adapters use."""

    metrics: metrics_lib.Metrics

    def now_us(self) -> int:
        """Returns the monotonic time."""

    def submit(self, event: events.Event) -> None:
        """Feeds an event to the reducer."""

    def spawn(self, work: exchange_lib.Work) -> asyncio.Task[None]:
        """Starts a task."""

    def may_send(self, call_id: int, attempt: int) -> bool:
        """Whether an attempt that waited for a connection may be sent."""


class DataPath:
    """Executes the effects of calls and reports the results as events.

    Attributes:
        exchanges: Exchanges of the calls in flight, by call id.
        server: Server for callers' connections.
        client: Connections to targets.
    """

    def __init__(
        self,
        shell: Shell,
        host_id: str,
        body_limits: requests.BodyLimits,
        connection_limits: target_client.ConnectionLimits | None = None,
        header_profile: headers.HeaderProfile = headers.DEFAULT_PROFILE,
        budget: caller_budget.CallerBudget | None = None,
    ) -> None:
        self.exchanges: dict[int, exchange_lib.Exchange] = {}
        self._shell = shell
        self._header_profile = header_profile
        self.client = target_client.TargetClient(
            self,
            shell.spawn,
            shell.now_us,
            connection_limits,
            header_profile,
            shell.may_send,
        )
        self.server = gate_server.GateServer(
            self, host_id, body_limits, header_profile, budget
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

    async def start_relays(self, address: str, accepting: bool = True) -> None:
        """Opens the address at which other gate hosts relay calls.

        Raises:
            OSError: The address can't be opened.
        """
        await self.server.start_relays(address, accepting)

    async def wait_idle(self, calls_limit_s: float) -> None:
        """Waits until no body is being buffered and no call is in flight.

        Args:
            calls_limit_s: Longest wait for calls. Bodies are waited for
                `SETTLE_LIMIT_S` at the longest, and so are calls at the least.
        """
        started_s = time.monotonic()
        while self.server.receiving or self.exchanges:
            limit_s = SETTLE_LIMIT_S
            if self.exchanges:
                limit_s = max(limit_s, calls_limit_s)
            if time.monotonic() > started_s + limit_s:
                return
            await asyncio.sleep(POLL_S)

    async def close_server(self, limit_s: float) -> None:
        """Closes callers' connections, once their responses are delivered.

        Args:
            limit_s: Longest time in which callers may receive them.
        """
        await self.server.close(limit_s)

    def close(self) -> None:
        """Closes the idle connections to targets."""
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

    def open_call(
        self, exchange: exchange_lib.Exchange, event: events.CallArrived
    ) -> None:
        """Registers a call."""
        self.exchanges[exchange.call_id] = exchange
        self._shell.submit(event)

    def on_refused(self, error: str) -> None:
        """Counts a request that was rejected before it became a call."""
        self._shell.metrics.error_counts[error] += 1

    def on_callers_closed(self, reason: str, count: int) -> None:
        """Counts connections that were closed to make room for others."""
        self._shell.metrics.event_counts[f"callers_closed_{reason}"] += count

    def send(self, effect: effects.SendToTarget) -> None:
        """Sends an attempt of a call to a target."""
        if effect.attempt > 1:
            self._shell.metrics.event_counts[
                "hedge" if effect.hedge else "retry"
            ] += 1
        if effect.relayed:
            self._shell.metrics.event_counts["relay"] += 1
        exchange = self.exchanges[effect.call_id]
        # A published rule overrides what the request's method implies.
        exchange.repeatable = effect.repeatable
        self.client.begin(exchange, effect)
        self._update_held(exchange)

    def _update_held(self, exchange: exchange_lib.Exchange) -> None:
        if exchange.call_id in self.exchanges:
            self.server.room.account.set(exchange, exchange.held_bytes)

    def answer(self, effect: effects.AnswerCaller) -> None:
        """Answers a caller with a response generated by the gate host."""
        self._shell.metrics.error_counts[effect.error] += 1
        responses.answer(self.exchanges[effect.call_id], effect)

    def on_response(self, attempt: target_client.Attempt) -> None:
        """Reports the head of a target's response."""
        response = attempt.response
        assert response is not None
        response_headers = response.message.headers
        event = events.AttemptAnswered(
            now_us=self._shell.now_us(),
            call_id=attempt.exchange.call_id,
            attempt=attempt.number,
            status=response.message.code,
        )
        if attempt.relayed:
            outcome = response_headers.get(headers.RELAY_OUTCOME)
            event.not_carried = outcome == headers.NOT_CARRIED
            event.not_run = (
                event.not_carried or outcome == effects.Outcome.NOT_RUN.value
            )
            event.leaving_start = responses.parse_leaving_start(
                response_headers.get(headers.RELAY_LEAVING, "")
            )
        else:
            event.not_run = self._header_profile.not_run in response_headers
            event.report = self._header_profile.parse_load_report(
                response_headers
            )
        self._shell.submit(event)

    def on_failed(
        self,
        attempt: target_client.Attempt,
        reason: events.FailureReason,
        head: http.RawResponseMessage | None = None,
    ) -> None:
        """Reports the end of an attempt without a complete response."""
        attempt.ended = True
        event = events.AttemptFailed(
            now_us=self._shell.now_us(),
            call_id=attempt.exchange.call_id,
            attempt=attempt.number,
            reason=reason,
            sent=attempt.sent,
        )
        if head is not None and not attempt.relayed:
            event.status = head.code
            event.report = self._header_profile.parse_load_report(head.headers)
        self._shell.submit(event)

    def forward(self, effect: effects.ForwardAnswer) -> None:
        """Forwards a target's response to the caller."""
        exchange = self.exchanges[effect.call_id]
        attempt = exchange.attempts[effect.attempt]
        relay = responses.Relay(exchange, attempt)
        if relay.begin(effect.outcome):
            self._finish_attempt(attempt)
            return
        attempt.relaying = True
        self._update_held(exchange)
        attempt.tasks.append(self._shell.spawn(self._relay(relay, attempt)))

    async def _relay(
        self, relay: responses.Relay, attempt: target_client.Attempt
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
        head = attempt.connection.head if attempt.connection else None
        if attempt.relaying and exchange.caller is not None:
            responses.break_off(exchange)
            if not exchange.repeatable:
                return
        if attempt.response is None or attempt.relaying:
            attempt.abort()
        elif attempt.response.payload.is_eof():
            attempt.release()
        elif exchange.repeatable:
            attempt.abort()
        else:
            self._shell.spawn(responses.discard(attempt))
        self.on_failed(attempt, events.FailureReason.CANCELLED, head)

    def finish(self, effect: effects.CallFinished) -> None:
        """Removes a finished call, and records it in metrics and the log."""
        exchange = self.exchanges.pop(effect.call_id)
        self.server.room.account.drop(exchange)
        exchange.attempts.clear()
        self._shell.metrics.on_call_finished(effect)
        possibly_executed = (
            effect.outcome is effects.Outcome.UNKNOWN
            and not exchange.repeatable
        )
        notable = effect.steps.kept and (
            effect.past_soft_deadline
            or effect.relayed
            or effect.attempts != 1
            or effect.outcome is not effects.Outcome.COMPLETE
        )
        if possibly_executed:
            _log_call(logs.logger.warning, exchange, effect)
        elif notable:
            _log_call(logs.logger.info, exchange, effect)
        elif logs.enabled("DEBUG"):
            _log_call(logs.logger.debug, exchange, effect)


def _log_call(
    log: Callable[..., None],
    exchange: exchange_lib.Exchange,
    effect: effects.CallFinished,
) -> None:
    decision_fields = {}
    if effect.steps.kept:
        decision_fields = {
            "route": effect.route,
            "fingerprint": exchange.fingerprint,
            "late": effect.past_soft_deadline,
            "steps": steps_lib.as_data(effect.steps),
            "steps_left_out": effect.steps.dropped_count,
        }
    configuration_fields = {}
    if effect.configuration_version:
        configuration_fields = {
            "configuration_version": effect.configuration_version,
            "configuration_unproven": effect.configuration_unproven,
        }
    log(
        "call finished",
        code="call",
        request_id=exchange.request_id[:LOGGED_ID_CHARACTERS],
        tenant=effect.tenant,
        traffic_class=effect.traffic_class,
        target=effect.target,
        outcome=effect.outcome.value,
        total_us=effect.total_us,
        target_us=effect.target_us,
        attempts=effect.attempts,
        **decision_fields,
        **configuration_fields,
    )
