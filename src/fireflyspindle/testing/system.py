"""A complete system in one process: log, host list, targets, gate hosts."""

import asyncio
import uuid

import attrs

from fireflyspindle import gate as gate_lib
from fireflyspindle import settings as settings_lib
from fireflyspindle.core import configuration
from fireflyspindle.core import readiness
from fireflyspindle.testing import hosts as hosts_lib
from fireflyspindle.testing import log as log_lib
from fireflyspindle.testing import records as record_bodies
from fireflyspindle.testing import server as server_lib
from fireflyspindle.testing import target as target_lib

POLL_INTERVAL_S = 0.005
READY_TIMEOUT_S = 30.0


def publish(
    log: log_lib.StandInLog,
    kind: str,
    name: str,
    payload: dict,
    expected_revision: int = 0,
    schema_version: int = 1,
) -> int:
    """Appends a record to the stand-in log; returns its revision."""
    body = record_bodies.body(
        kind,
        name,
        payload,
        record_id=uuid.uuid4().hex,
        author="stand-in",
        expected_revision=expected_revision,
        schema_version=schema_version,
    )
    return log.append(configuration.STREAM, body) + 1


def gate_settings(
    host_id: str, log_address: str, host_list_address: str
) -> settings_lib.Settings:
    """Returns settings for a gate host on free loopback ports."""
    return settings_lib.Settings(
        gate=settings_lib.GateSettings(
            host_id=host_id,
            failure_domain="a",
            callers_address="127.0.0.1:0",
            control_address="127.0.0.1:0",
        ),
        platform=settings_lib.PlatformSettings(log_address, host_list_address),
        limits=settings_lib.LimitSettings(drain_grace_ms=0),
    )


@attrs.define(eq=False)
class StandInSystem:
    """A running system; enter it as an asynchronous context manager.

    Attributes:
        log: The log service.
        hosts: The host list.
        targets: Targets by address.
        gates: Gate hosts by host id.
    """

    log: log_lib.StandInLog = attrs.field(factory=log_lib.StandInLog)
    hosts: hosts_lib.StandInHosts = attrs.field(factory=hosts_lib.StandInHosts)
    targets: dict[str, target_lib.StandInTarget] = attrs.field(factory=dict)
    gates: dict[str, gate_lib.Gate] = attrs.field(factory=dict)
    _log_address: str = ""
    _hosts_address: str = ""
    _servers: list[server_lib.Server] = attrs.field(factory=list)

    async def __aenter__(self) -> "StandInSystem":
        """Starts the log and the host list."""
        self._log_address = await self._serve(
            server_lib.Server(self.log.application())
        )
        self._hosts_address = await self._serve(
            server_lib.Server(self.hosts.application())
        )
        return self

    async def __aexit__(self, *_: object) -> None:
        """Stops all gate hosts and servers that are still running."""
        for host_id in list(self.gates):
            await self.stop_gate(host_id)
        for server in reversed(self._servers):
            await server.close()

    async def _serve(self, server: server_lib.Server) -> str:
        self._servers.append(server)
        return await server.start()

    async def add_target(self, target: target_lib.StandInTarget) -> str:
        """Starts a target; returns its address."""
        address = await self._serve(server_lib.Server(target.application()))
        self.targets[address] = target
        self.hosts.put("targets", target.name, address)
        return address

    def gate_settings(self, host_id: str) -> settings_lib.Settings:
        """Returns settings for a gate host of this system."""
        return gate_settings(host_id, self._log_address, self._hosts_address)

    async def add_gate(
        self, host_id: str, settings: settings_lib.Settings | None = None
    ) -> gate_lib.Gate:
        """Starts a gate host and waits until it is ready.

        Raises:
            TimeoutError: It is not ready after `READY_TIMEOUT_S`.
        """
        gate = gate_lib.Gate(settings or self.gate_settings(host_id))
        await gate.start()
        self.gates[host_id] = gate
        self.hosts.put("gates", host_id, gate.control_address)
        async with asyncio.timeout(READY_TIMEOUT_S):
            while readiness.not_ready_reason(gate.state) is not None:
                await asyncio.sleep(POLL_INTERVAL_S)
        return gate

    async def stop_gate(self, host_id: str) -> None:
        """Stops a gate host gracefully and waits until it has stopped."""
        gate = self.gates.pop(host_id)
        self.hosts.remove("gates", host_id)
        gate.request_stop()
        await gate.wait_closed()
