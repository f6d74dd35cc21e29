"""Health and state of a gate host, on its control address."""

import aiohttp

from fireflyspindle import gate as gate_lib
from fireflyspindle import testing


async def read(gate: gate_lib.Gate, path: str) -> tuple[int, dict]:
    async with (
        aiohttp.ClientSession() as session,
        session.get(f"http://{gate.control_address}{path}") as answer,
    ):
        return answer.status, await answer.json()


async def test_host_with_its_configuration_is_live_and_ready(system):
    assert await read(system.gate, "/health/live") == (200, {"live": True})
    status, stated = await read(system.gate, "/health/ready")
    assert (status, stated["ready"], stated["reason"]) == (200, True, None)
    status, state = await read(system.gate, "/state")
    assert status == 200
    assert state["calls"] == 0
    assert state["configuration"]["unreadable"] == {}
    [target] = state["services"]["dossier"].values()
    assert target["in_flight"] == 0


async def test_host_that_can_read_no_log_says_why_it_is_not_ready():
    settings = testing.gate_settings("gate-1", "127.0.0.1:9", "127.0.0.1:9")
    gate = gate_lib.Gate(settings)
    await gate.start()
    status, stated = await read(gate, "/health/ready")
    assert (status, stated["ready"]) == (503, False)
    assert "configuration" in stated["reason"]
    assert (await read(gate, "/health/live"))[0] == 200
    gate.request_stop()
    await gate.wait_closed()
