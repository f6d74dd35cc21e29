"""A gate host configured by the log, the host list and its peers."""

import asyncio
import ipaddress
import time

from aiohttp import web
import attrs

from fireflyspindle import settings as settings_lib
from fireflyspindle import shell
from fireflyspindle.adapters import control_api
from fireflyspindle.adapters import data_path
from fireflyspindle.adapters import host_list as host_list_lib
from fireflyspindle.adapters import log_client
from fireflyspindle.adapters import peers
from fireflyspindle.adapters import probe_client
from fireflyspindle.adapters import requests
from fireflyspindle.core import claim_state
from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import state as state_lib


class Gate(shell.Shell):
    """One gate host in this process.

    Attributes:
        settings: Settings of this gate host.
        log: Client of the log service.
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
        super().__init__(core_settings)

    async def start(self) -> None:
        """Opens the addresses and starts the reducer, which reads the log."""
        self.log = log_client.LogClient(self.settings.platform.log_address)
        self._peers = peers.PeerClient()
        self._host_list = host_list_lib.HostListClient(
            self.settings.platform.host_list_address
        )
        self.probes = probe_client.ProbeClient(self.now_us)
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
            control_address=_advertised_address(self.control_address),
        )
        self.begin()

    async def _listen(self, runner: web.BaseRunner, address: str) -> None:
        host, _, port = address.rpartition(":")
        await runner.setup()
        await web.TCPSite(runner, host.strip("[]"), int(port)).start()

    @property
    def callers_address(self) -> str:
        """The address for callers, with its actual port."""
        return self.data_path.server.address

    @property
    def control_address(self) -> str:
        """The control address, with its actual port."""
        return _bound_address(self._control)

    async def wait_closed(self) -> None:
        """Waits until nothing is in flight, then closes everything."""
        await self.wait_exit()
        await self._peers.close()
        await self._control.cleanup()
        await self.log.close()
        await self._host_list.close()

    def execute_specific_effect(self, effect: effects.Effect) -> None:
        """Executes an effect on the log, the host list or a peer."""
        match effect:
            case effects.ReadLog():
                self.spawn(self._read_log(effect))
            case effects.AppendRecord():
                self.metrics.event_counts["append"] += 1
                self.spawn(self._append_record(effect))
            case effects.SendToPeer(address, body):
                self.spawn(self._peers.send(address, body))
            case effects.ReadHostList():
                self.spawn(self._read_host_list(effect))
            case _:
                super().execute_specific_effect(effect)

    async def _read_log(self, effect: effects.ReadLog) -> None:
        await asyncio.sleep(effect.delay_us / 1e6)
        batch = await self.log.read(
            effect.stream,
            effect.from_offset,
            wait=effect.wait,
            limits=effect.limits,
            on_unanswered=lambda: self.submit(
                events.LogReadUnanswered(self.now_us(), effect.stream)
            ),
        )
        if batch is None:
            self.submit(events.LogReadFailed(self.now_us(), effect.stream))
            return
        has_entries = bool(batch.entries)
        self.metrics.on_log_read(effect.stream, self.now_us(), has_entries)
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
        appended = await self.log.append(
            effect.stream,
            effect.body,
            effect.timeout_us / 1e6,
            effect.limit_us / 1e6,
        )
        self.submit(
            events.AppendEnded(
                now_us=self.now_us(),
                append_id=effect.append_id,
                outcome=appended.outcome,
                offset=appended.offset,
            )
        )

    async def _read_host_list(self, effect: effects.ReadHostList) -> None:
        await asyncio.sleep(effect.delay_us / 1e6)
        read = await self._host_list.read(
            effect.limits,
            lambda: self.submit(events.HostListReadUnanswered(self.now_us())),
        )
        if read is None:
            self.submit(events.HostListReadFailed(self.now_us()))
            return
        self.submit(
            events.HostListRead(
                self.now_us(),
                read.listed.gates,
                read.listed.targets,
                read.size_bytes,
            )
        )


def _advertised_address(address: str) -> str:
    """Returns the address for peers, or "" to use that of the host list."""
    host = address.rpartition(":")[0].strip("[]")
    return "" if ipaddress.ip_address(host).is_unspecified else address


def _bound_address(runner: web.BaseRunner) -> str:
    host, port = runner.addresses[0][:2]
    return f"{host}:{port}"
