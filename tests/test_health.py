"""Health and state of a gate host, on its control address."""

import aiohttp

from fireflyspindle import gate as gate_lib
from fireflyspindle import testing


async def get(gate: gate_lib.Gate, path: str) -> tuple[int, dict]:
    async with (
        aiohttp.ClientSession() as session,
        session.get(f"http://{gate.control_address}{path}") as response,
    ):
        return response.status, await response.json()


async def test_host_with_its_configuration_is_live_and_ready(system):
    assert await get(system.gate, "/health/live") == (200, {"live": True})
    status, readiness = await get(system.gate, "/health/ready")
    assert (status, readiness["ready"], readiness["reason"]) == (
        200,
        True,
        None,
    )
    status, state = await get(system.gate, "/state")
    assert status == 200
    assert state["calls"] == 0
    assert state["configuration"]["unreadable"] == {}
    [target] = state["services"]["dossier"].values()
    assert target["in_flight"] == 0


async def test_host_without_a_log_reports_why_it_is_not_ready():
    settings = testing.gate_settings("gate-1", "127.0.0.1:9", "127.0.0.1:9")
    gate = gate_lib.Gate(settings)
    await gate.start()
    status, readiness = await get(gate, "/health/ready")
    assert (status, readiness["ready"]) == (503, False)
    assert "configuration" in readiness["reason"]
    assert (await get(gate, "/health/live"))[0] == 200
    gate.request_stop()
    await gate.wait_closed()
