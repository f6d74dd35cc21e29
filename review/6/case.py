"""The first reader of the store is killed while a server leaves."""

import asyncio
import os
import pathlib
import signal
import sys

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "lib-2"))

import system as lib  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DRAIN_S = lib.BOUNDS["drain-ms"] / 1000
# The system has run for a minute; one in use has run for longer. All machines
# but the one that is killed are in touch long before the end of this time.
WARM_UP_S = 62.0
# Time from the kill to the removal of the server's entry, and to the restart.
GAP_S = 0.15
DOWN_S = 0.5
# Time for which the server goes on serving after its entry is gone: `drain-ms`
# and a little longer.
SERVES_S = 3.4
FEWEST_ANSWERS = 1_000


async def main() -> int:
    """Runs the case; returns the status of `run.sh`."""
    async with lib.System(CASE, gates=14) as system:
        for number in range(4):
            zone = lib.ZONES[number % 3]
            # The servers of some services tell no load.
            await system.add_server(
                "dossiers", zone, slots=12, tells_load=False
            )
        leaving = next(iter(system.servers.values()))
        system.configure({"/dossier/": ("dossiers", "idempotent")})
        await system.start_gates()
        clients = [
            lib.Client(system, gate) for gate in system.gates for _ in range(2)
        ]
        end = lib.now() + WARM_UP_S + 6.0

        async def load(client: lib.Client) -> None:
            while lib.now() < end:
                await client.ask("GET", "/dossier/1")
                await asyncio.sleep(0.02 if lib.now() > end - 8.0 else 0.2)

        tasks = [asyncio.create_task(load(client)) for client in clients]
        await asyncio.sleep(WARM_UP_S)
        reader = system.gates[0]
        if TROUBLE:
            reader.send(signal.SIGKILL)
        await asyncio.sleep(GAP_S)
        removed = system.remove(leaving)
        await asyncio.sleep(DOWN_S - GAP_S)
        if TROUBLE:
            await reader.process.wait()
            await reader.start()
        await asyncio.sleep(max(0.0, removed + SERVES_S - lib.now()))
        leaving.stop()
        system.record.write(f"{leaving.id} ends")
        await asyncio.gather(*tasks)
        return judge(system, clients, leaving, removed)


def judge(
    system: lib.System,
    clients: list[lib.Client],
    leaving: lib.Server,
    removed: float,
) -> int:
    """Checks the rule for the machines that were not harmed."""
    gate_by_id = {
        request_id: client.gate
        for client in clients
        for request_id in client.sent
    }
    late = [
        (at - removed, request_id, gate_by_id[request_id])
        for at, request_id in leaving.arrivals
        if at > removed + DRAIN_S and not gate_by_id[request_id].harmed
    ]
    for late_s, request_id, gate in late:
        system.record.write(
            f"late: {request_id} from {gate.name} reached {leaving.id}"
            f" {late_s:.3f} s after its entry was removed"
        )
    statuses = [
        status for client in clients for _, status in client.answers.values()
    ]
    summary = (
        f"{statuses.count(200)} of {len(statuses)} requests answered with 200;"
        f" {len(late)} reached {leaving.id} later than {DRAIN_S} s after the"
        " store acknowledged its removal"
    )
    if late:
        summary += f", the last {late[-1][0]:.3f} s after it"
    system.record.write(summary)
    print(summary)
    if statuses.count(200) < FEWEST_ANSWERS:
        return 2
    return 1 if late else 0


if __name__ == "__main__":
    try:
        sys.exit(asyncio.run(main()))
    except Exception as error:
        print(f"the case could not run: {error!r}")
        sys.exit(2)
