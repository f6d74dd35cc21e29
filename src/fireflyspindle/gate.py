"""The shell of a gate host: carries out effects and reports back as events."""

import asyncio
from collections.abc import Coroutine
import random
import time

import aiohttp
from aiohttp import web

from fireflyspindle import headers
from fireflyspindle import logs
from fireflyspindle import metrics as metrics_lib
from fireflyspindle import settings as settings_lib
from fireflyspindle.adapters import control_api
from fireflyspindle.adapters import exchange as exchange_lib
from fireflyspindle.adapters import gate_server
from fireflyspindle.adapters import host_list as host_list_lib
from fireflyspindle.adapters import log_client
from fireflyspindle.adapters import target_client
from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import reducer
from fireflyspindle.core import state as state_lib

MAX_INCARNATION_CHARACTERS = 100


class Gate:
    """One gate host in this process.

    Attributes:
        state: State of the reducer; read only outside this class.
        metrics: Metrics of this gate host.
        log: Client of the log service.
    """

    def __init__(self, settings: settings_lib.Settings) -> None:
        self._settings = settings
        core_settings = state_lib.CoreSettings(
            host_id=settings.gate.host_id,
            failure_domain=settings.gate.failure_domain,
            drain_limit_ms=settings.limits.drain_limit_ms,
        )
        self.state = state_lib.new(core_settings, random.getrandbits(64))
        self.metrics = metrics_lib.Metrics()
        self._exchanges: dict[int, exchange_lib.Exchange] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._timer: asyncio.TimerHandle | None = None
        self._runners: list[web.BaseRunner] = []
        self._exit = asyncio.Event()

    async def start(self) -> None:
        """Opens the addresses and begins to read the log."""
        self.log = log_client.LogClient(self._settings.platform.log_address)
        self._client = target_client.TargetClient()
        self._host_list = host_list_lib.HostListClient(
            self._settings.platform.host_list_address
        )
        server = gate_server.GateServer(
            self,
            self._settings.gate.host_id,
            self._settings.limits.body_buffer_bytes,
        )
        callers = web.ServerRunner(
            web.Server(
                server.handle,
                access_log=None,
                auto_decompress=False,
                handler_cancellation=True,
            )
        )
        await self._listen(callers, self._settings.gate.callers_address)
        control = web.AppRunner(control_api.application(self), access_log=None)
        await self._listen(control, self._settings.gate.control_address)
        self._carry_out_all(reducer.start(self.state, self.now_us()))

    async def _listen(self, runner: web.BaseRunner, address: str) -> None:
        host, _, port = address.rpartition(":")
        await runner.setup()
        await web.TCPSite(runner, host.strip("[]"), int(port)).start()
        self._runners.append(runner)

    @property
    def callers_address(self) -> str:
        """The address on which callers are served, with its real port."""
        return _address(self._runners[0])

    @property
    def control_address(self) -> str:
        """The control address, with its real port."""
        return _address(self._runners[1])

    def request_stop(self) -> None:
        """Begins a planned stop; `wait_closed` returns when it is done."""
        self.submit(events.StopRequested(self.now_us()))

    async def wait_closed(self) -> None:
        """Waits until nothing is in flight, then closes everything."""
        await self._exit.wait()
        if self._timer is not None:
            self._timer.cancel()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for runner in self._runners:
            await runner.cleanup()
        await self._client.close()
        await self.log.close()
        await self._host_list.close()

    def now_us(self) -> int:
        """Returns the monotonic time."""
        return time.monotonic_ns() // 1000

    def open(
        self, exchange: exchange_lib.Exchange, event: events.CallArrived
    ) -> None:
        """Takes in a call."""
        self._exchanges[exchange.call_id] = exchange
        self.submit(event)

    def submit(self, event: events.Event) -> None:
        """Feeds an event to the reducer and carries out the effects."""
        self._carry_out_all(reducer.reduce(self.state, event))

    def _carry_out_all(self, asked: list[effects.Effect]) -> None:
        for effect in asked:
            self._carry_out(effect)

    def _carry_out(self, effect: effects.Effect) -> None:
        match effect:
            case effects.SendToTarget():
                self._begin_attempt(effect)
            case effects.ForwardAnswer(call_id):
                self._exchanges[call_id].decide(effect)
            case effects.AnswerCaller(call_id):
                self._exchanges[call_id].decide(effect)
            case effects.CancelAttempt():
                self._cancel_attempt(effect)
            case effects.CallFinished():
                self._finish(effect)
            case _:
                self._carry_out_shared(effect)

    def _carry_out_shared(self, effect: effects.Effect) -> None:
        match effect:
            case effects.SetTimer(at_us):
                self._set_timer(at_us)
            case effects.ReadLog():
                self._spawn(self._read_log(effect))
            case effects.AppendRecord():
                self._spawn(self._append_record(effect))
            case effects.ReadHostList(delay_us):
                self._spawn(self._read_host_list(delay_us))
            case effects.Report(level, code, detail):
                logs.logger.log(level.upper(), detail, code=code)
            case effects.Exit():
                self._exit.set()
            case _:
                pass

    def _spawn(self, work: Coroutine[None, None, None]) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def _set_timer(self, at_us: int) -> None:
        if self._timer is not None:
            self._timer.cancel()
        loop = asyncio.get_running_loop()
        delay_s = max(0, at_us - self.now_us()) / 1e6
        self._timer = loop.call_later(delay_s, self._fire_timer)

    def _fire_timer(self) -> None:
        self._timer = None
        self.submit(events.TimerFired(self.now_us()))

    def _begin_attempt(self, effect: effects.SendToTarget) -> None:
        exchange = self._exchanges[effect.call_id]
        task = self._spawn(self._attempt(exchange, effect))
        exchange.tasks[effect.attempt] = task

    async def _attempt(
        self, exchange: exchange_lib.Exchange, effect: effects.SendToTarget
    ) -> None:
        try:
            answer = await self._client.send(
                exchange, effect.target, effect.timeout_us
            )
        except asyncio.CancelledError:
            self._fail(effect, events.FailureReason.CANCELLED)
            raise
        if isinstance(answer, events.FailureReason):
            self._fail(effect, answer)
            return
        exchange.answers[effect.attempt] = answer
        self.submit(
            events.AttemptAnswered(
                now_us=self.now_us(),
                call_id=effect.call_id,
                attempt=effect.attempt,
                status=answer.status,
                not_run=headers.NOT_RUN in answer.headers,
                report=_report(answer),
            )
        )

    def _fail(
        self, effect: effects.SendToTarget, reason: events.FailureReason
    ) -> None:
        self.submit(
            events.AttemptFailed(
                now_us=self.now_us(),
                call_id=effect.call_id,
                attempt=effect.attempt,
                reason=reason,
                sent=target_client.was_sent(reason),
            )
        )

    def _cancel_attempt(self, effect: effects.CancelAttempt) -> None:
        exchange = self._exchanges[effect.call_id]
        if effect.attempt in exchange.answers:
            exchange.drop_answer(effect.attempt)
            asyncio.get_running_loop().call_soon(
                self._report_cancelled, effect.call_id, effect.attempt
            )
            return
        task = exchange.tasks.get(effect.attempt)
        if task is not None:
            task.cancel()

    def _report_cancelled(self, call_id: int, attempt: int) -> None:
        self.submit(
            events.AttemptFailed(
                now_us=self.now_us(),
                call_id=call_id,
                attempt=attempt,
                reason=events.FailureReason.CANCELLED,
                sent=True,
            )
        )

    def _finish(self, effect: effects.CallFinished) -> None:
        exchange = self._exchanges.pop(effect.call_id)
        labels = {"tenant": effect.tenant, "class": effect.traffic_class}
        added_us = effect.total_us - effect.target_us
        self.metrics.total_s.observe(labels, effect.total_us / 1e6)
        self.metrics.added_s.observe(labels, added_us / 1e6)
        self.metrics.outcomes.inc({**labels, "outcome": effect.outcome.value})
        logs.logger.debug(
            "call finished",
            request_id=exchange.request_id,
            tenant=effect.tenant,
            traffic_class=effect.traffic_class,
            target=effect.target,
            outcome=effect.outcome.value,
            total_us=effect.total_us,
            target_us=effect.target_us,
            attempts=effect.attempts,
        )

    async def _read_log(self, effect: effects.ReadLog) -> None:
        await asyncio.sleep(effect.delay_us / 1e6)
        batch = await self.log.read(
            effect.stream, effect.from_offset, wait=effect.wait
        )
        if batch is None:
            self.submit(events.LogReadFailed(self.now_us(), effect.stream))
            return
        self.submit(
            events.LogRead(
                now_us=self.now_us(),
                stream=effect.stream,
                entries=batch.entries,
                from_offset=effect.from_offset,
                earliest_offset=batch.earliest_offset,
                next_offset=batch.next_offset,
            )
        )

    async def _append_record(self, effect: effects.AppendRecord) -> None:
        appended = await self.log.append(effect.stream, effect.body)
        self.submit(
            events.AppendSettled(
                now_us=self.now_us(),
                append_id=effect.append_id,
                outcome=appended.outcome,
                offset=appended.offset,
            )
        )

    async def _read_host_list(self, delay_us: int) -> None:
        await asyncio.sleep(delay_us / 1e6)
        found = await self._host_list.read()
        if found is None:
            self.submit(events.HostListReadFailed(self.now_us()))
            return
        self.submit(
            events.HostListRead(self.now_us(), found.gates, found.targets)
        )


def _address(runner: web.BaseRunner) -> str:
    host, port = runner.addresses[0][:2]
    return f"{host}:{port}"


def _report(answer: aiohttp.ClientResponse) -> events.LoadReport:
    text = answer.headers.get(headers.IN_FLIGHT, "")
    return events.LoadReport(
        in_flight=int(text) if text.isdecimal() else None,
        leaving=headers.LEAVING in answer.headers,
        incarnation=answer.headers.get(headers.INCARNATION, "")[
            :MAX_INCARNATION_CHARACTERS
        ],
    )
