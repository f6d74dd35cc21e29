"""The shell of a gate host: carries out effects and reports back as events."""

import asyncio
import collections
import ipaddress
import random
import time

from aiohttp import web
import attrs

from fireflyspindle import logs
from fireflyspindle import metrics as metrics_lib
from fireflyspindle import settings as settings_lib
from fireflyspindle.adapters import control_api
from fireflyspindle.adapters import data_path
from fireflyspindle.adapters import exchange as exchange_lib
from fireflyspindle.adapters import host_list as host_list_lib
from fireflyspindle.adapters import log_client
from fireflyspindle.adapters import peers
from fireflyspindle.adapters import probe_client
from fireflyspindle.adapters import requests
from fireflyspindle.core import claim_state
from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import reducer
from fireflyspindle.core import state as state_lib


class Gate:
    """One gate host in this process.

    Attributes:
        settings: Settings of this gate host.
        state: State of the reducer; read only outside this class.
        metrics: Metrics of this gate host.
        log: Client of the log service.
        data_path: Callers, targets and the calls between them.
    """

    def __init__(self, settings: settings_lib.Settings) -> None:
        self.settings = settings
        core_settings = state_lib.CoreSettings(
            host_id=settings.gate.host_id,
            failure_domain=settings.gate.failure_domain,
            drain_grace_ms=settings.limits.drain_grace_ms,
            drain_limit_ms=settings.limits.drain_limit_ms,
            claims=claim_state.ClaimSettings(**attrs.asdict(settings.claims)),
            incarnation=time.time_ns() // 1_000_000,
            peer_addresses=settings.peers.addresses,
            log_keep_s=settings.platform.log_keep_s,
        )
        self.state = state_lib.new(core_settings, random.getrandbits(64))
        self.metrics = metrics_lib.Metrics()
        self._tasks: set[asyncio.Task[None]] = set()
        self._timer: asyncio.TimerHandle | None = None
        self._events: collections.deque[events.Event] = collections.deque()
        self._reducing = False
        self._exit = asyncio.Event()

    async def start(self) -> None:
        """Opens the addresses and begins to read the log."""
        self.log = log_client.LogClient(self.settings.platform.log_address)
        self._peers = peers.PeerClient()
        self._host_list = host_list_lib.HostListClient(
            self.settings.platform.host_list_address
        )
        self._probes = probe_client.ProbeClient(self.now_us)
        limits = self.settings.limits
        self.data_path = data_path.DataPath(
            self,
            self.settings.gate.host_id,
            requests.BodyLimits(
                limits.body_buffer_bytes, limits.request_body_bytes
            ),
        )
        await self.data_path.start(self.settings.gate.callers_address)
        app = control_api.application(self)
        self._control = web.AppRunner(app, access_log=None)
        await self._listen(self._control, self.settings.gate.control_address)
        self.state.settings = attrs.evolve(
            self.state.settings,
            control_address=_reachable(self.control_address),
        )
        self._carry_out_all(reducer.start(self.state, self.now_us()))

    async def _listen(self, runner: web.BaseRunner, address: str) -> None:
        host, _, port = address.rpartition(":")
        await runner.setup()
        await web.TCPSite(runner, host.strip("[]"), int(port)).start()

    @property
    def callers_address(self) -> str:
        """The address on which callers are served, with its real port."""
        return self.data_path.server.address

    @property
    def control_address(self) -> str:
        """The control address, with its real port."""
        return _address(self._control)

    def request_stop(self) -> None:
        """Begins a planned stop; `wait_closed` returns when it is done."""
        self.submit(events.StopRequested(self.now_us()))

    async def wait_closed(self) -> None:
        """Waits until nothing is in flight, then closes everything."""
        await self._exit.wait()
        await self.data_path.settle()
        if self._timer is not None:
            self._timer.cancel()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.data_path.close()
        await self._peers.close()
        await self._control.cleanup()
        await self.log.close()
        await self._host_list.close()

    def now_us(self) -> int:
        """Returns the monotonic time."""
        return time.monotonic_ns() // 1000

    def submit(self, event: events.Event) -> None:
        """Feeds an event to the reducer and carries out the effects.

        An event that comes up while effects are carried out waits until all
        of them are, so that effects take place in the order of the events.
        """
        self._events.append(event)
        if self._reducing:
            return
        self._reducing = True
        try:
            while self._events:
                first = self._events.popleft()
                self._carry_out_all(reducer.reduce(self.state, first))
        finally:
            self._reducing = False

    def _carry_out_all(self, asked: list[effects.Effect]) -> None:
        for effect in asked:
            self._carry_out(effect)

    def _carry_out(self, effect: effects.Effect) -> None:
        match effect:
            case effects.SendToTarget():
                self.data_path.send(effect)
            case effects.ForwardAnswer():
                self.data_path.forward(effect)
            case effects.AnswerCaller():
                self.data_path.answer(effect)
            case effects.CancelAttempt():
                self.data_path.cancel(effect)
            case effects.CallFinished():
                self.data_path.finish(effect)
            case _:
                self._carry_out_shared(effect)

    def _carry_out_shared(self, effect: effects.Effect) -> None:
        if isinstance(effect, effects.ProbeTarget):
            self.metrics.counts["probe"] += 1
        match effect:
            case effects.SetTimer(at_us):
                self._set_timer(at_us)
            case effects.ReadLog():
                self.spawn(self._read_log(effect))
            case effects.AppendRecord():
                self.metrics.counts["append"] += 1
                self.spawn(self._append_record(effect))
            case effects.TellPeer(address, body):
                self.spawn(self._peers.tell(address, body))
            case effects.ProbeTarget():
                self.spawn(self._probe(effect))
            case effects.ReadHostList(delay_us):
                self.spawn(self._read_host_list(delay_us))
            case effects.Report(level, code, detail):
                logs.logger.log(level.upper(), detail, code=code)
            case _:
                self._carry_out_stop(effect)

    def _carry_out_stop(self, effect: effects.Effect) -> None:
        match effect:
            case effects.CloseAfterAnswers():
                self.data_path.server.stopping = True
            case effects.StopListening():
                self.data_path.server.stop_listening()
            case effects.Exit():
                self._exit.set()
            case _:
                pass

    def spawn(self, work: exchange_lib.Work) -> asyncio.Task[None]:
        """Starts a task that ends with the gate at the latest."""
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

    async def _read_log(self, effect: effects.ReadLog) -> None:
        await asyncio.sleep(effect.delay_us / 1e6)
        batch = await self.log.read(
            effect.stream, effect.from_offset, wait=effect.wait
        )
        if batch is None:
            self.submit(events.LogReadFailed(self.now_us(), effect.stream))
            return
        brought = bool(batch.entries)
        self.metrics.on_log_read(effect.stream, self.now_us(), brought)
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

    async def _probe(self, effect: effects.ProbeTarget) -> None:
        self.metrics.counts["probe"] += 1
        report = await self._probes.probe(effect)
        self.submit(events.ProbeEnded(self.now_us(), effect.probe_id, report))

    async def _read_host_list(self, delay_us: int) -> None:
        await asyncio.sleep(delay_us / 1e6)
        found = await self._host_list.read()
        if found is None:
            self.submit(events.HostListReadFailed(self.now_us()))
            return
        self.submit(
            events.HostListRead(
                self.now_us(),
                found.listed.gates,
                found.listed.targets,
                found.size_bytes,
            )
        )


def _reachable(address: str) -> str:
    """Returns an address that peers can use, or "" to leave it to the list."""
    host = address.rpartition(":")[0].strip("[]")
    return "" if ipaddress.ip_address(host).is_unspecified else address


def _address(runner: web.BaseRunner) -> str:
    host, port = runner.addresses[0][:2]
    return f"{host}:{port}"
