"""Gate host processes around a store that is killed and starts again.

The checks use what callers and servers see of versions that were written
before, in and after the outage: each host serves the routes that they add, and
the old service of a route that they move runs no request any more.
"""

import asyncio

import pytest

from fireflyspindle.bench import store_process
import restart_fleet

OUTAGE_S = 1.5
WRITE_INTERVAL_S = 0.4
# Time for hosts to read what was written last before the outage.
READ_S = 0.6
OBSERVED_S = 1.0


@pytest.fixture
async def fleet(tmp_path):
    """Runs the processes."""
    fleet = restart_fleet.Fleet(tmp_path)
    try:
        await fleet.start()
        yield fleet
    finally:
        await fleet.end()


async def restart_store(fleet, how, *, before, within, loses_last=False):
    """Kills the store and starts it again, while versions are written.

    Args:
        fleet: The processes.
        how: What the store has kept.
        before: Number of versions before the outage.
        within: Number of versions in it, which the store acknowledges as soon
            as it is back.
        loses_last: Whether hosts have read a version that the store loses.
    """
    for _ in range(before):
        await fleet.write()
        await asyncio.sleep(WRITE_INTERVAL_S)
    if loses_last:
        fleet.write_unacknowledged()
    await asyncio.sleep(READ_S)
    await fleet.kill_store()
    written = [fleet.write() for _ in range(within)]
    await asyncio.sleep(OUTAGE_S)
    await fleet.start_store(how)
    await asyncio.gather(*written)
    if written:
        await observe(fleet)
    await fleet.write()
    await observe(fleet)


async def observe(fleet):
    """Waits until each host has to serve the newest version, and longer."""
    wait_s = fleet.due_s(fleet.newest) - fleet.now_s
    await asyncio.sleep(wait_s + OBSERVED_S)


def check(fleet):
    """Checks what callers and servers saw."""
    origin_s = fleet.outages[-1][1]
    figures = {
        "late": fleet.late_hosts(),
        "run by the old service": fleet.old_runs(),
        "reverted": fleet.reverted(),
    }
    seen = [
        f"{name}: {restart_fleet.describe(probes, origin_s)}"
        for name, probes in figures.items()
        if probes
    ]
    assert not seen, "\n".join(seen)
    assert not fleet.unserved()
    assert fleet.newest in fleet.acknowledged_s


# Guards against a position that outlives the run of the store that gave it:
# hosts take an older version for the newest, and run what it allows.
@pytest.mark.parametrize(
    ("how", "before", "within"),
    [
        pytest.param(store_process.AsBefore(), 2, 1, id="as before"),
        pytest.param(store_process.HistoryDropped(), 2, 1, id="dropped"),
        # The store has fewer records than the hosts have read, as many, or
        # more: the last record of each key, and those of the outage.
        pytest.param(store_process.Renumbered(), 4, 0, id="end below"),
        pytest.param(store_process.Renumbered(), 2, 2, id="same end"),
        pytest.param(store_process.Renumbered(), 2, 3, id="end above"),
    ],
)
async def test_hosts_follow_a_store_that_starts_again(
    fleet, how, before, within
):
    await restart_store(fleet, how, before=before, within=within)
    check(fleet)


# Guards against the same, after hosts have read a record that the store then
# lost: its offset is that of another record. In the outage nothing is written,
# or as much as was lost.
@pytest.mark.parametrize("within", [0, 1])
async def test_hosts_follow_a_store_that_lost_its_last_record(fleet, within):
    await restart_store(
        fleet,
        store_process.AsBefore(),
        before=2,
        within=within,
        loses_last=True,
    )
    check(fleet)


# Guards against the same for the entries of servers: hosts go on sending
# requests to servers that left, and know no new ones. The store has fewer
# records than the hosts have read, as many, or more.
@pytest.mark.parametrize(
    ("how", "before", "within"),
    [
        pytest.param(store_process.AsBefore(), 1, 0, id="as before"),
        pytest.param(store_process.Renumbered(), 2, 0, id="end below"),
        pytest.param(store_process.Renumbered(), 1, 0, id="same end"),
        pytest.param(store_process.Renumbered(), 1, 1, id="end above"),
    ],
)
async def test_hosts_follow_the_servers_of_a_store_that_starts_again(
    fleet, how, before, within
):
    for _ in range(before):
        fleet.register_again()
    await fleet.write()
    await asyncio.sleep(READ_S)
    await fleet.kill_store()
    await fleet.replace_servers()
    for _ in range(within):
        fleet.register_again()
    await asyncio.sleep(OUTAGE_S)
    await fleet.start_store(how)
    await asyncio.sleep(restart_fleet.RETURN_LIMIT_S)
    await asyncio.sleep(restart_fleet.DRAIN_LIMIT_S)
    await asyncio.sleep(OBSERVED_S)
    seen = fleet.runs_by_left_servers()
    origin_s = fleet.outages[-1][1]
    assert not seen, restart_fleet.describe(seen, origin_s)
    assert not fleet.unserved_moves()
