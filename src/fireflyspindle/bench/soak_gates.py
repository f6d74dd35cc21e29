"""The gate hosts of the soak, each a separate process."""

import asyncio
from collections.abc import Callable
import json
import os
import pathlib
import signal
import sys

import attrs

from fireflyspindle import testing
from fireflyspindle.bench import soak_checks
from fireflyspindle.platform import settings as settings_lib
from fireflyspindle.testing import tcp_proxy

# Gate hosts that read the store for all gate hosts, as on the platform.
READER_COUNT = 3
# Time between SIGTERM and SIGKILL (`grace-s`), short for one of three gate
# hosts, so that requests are at work when a planned stop ends.
GRACE_S = 6
SHORT_GRACE_S = 3
SHORT_GRACE_STEP = 3
# Interval of the samples of processor time; wait in one from which a process
# counts as starved, and from which that is recorded.
SAMPLE_S = 0.5
STARVED_S = 0.25
RECORDED_WAIT_S = 1.0

SETTINGS_TEMPLATE = """
[self]
node-name = "gate-{number}"
zone = "{zone}"
[network]
seed-nodes = {readers}
[network.listen-addrs]
front = "{callers}"
ready-addr = "{ready}"
control-addr = "{control}"
[platform.platform]
address = "{store}"
[terms.contract-params]
drain-ms = 2000
config-apply-ms = 2000
grace-s = {grace_s}
retry-budget-ratio = 0.2
retry-slack = 60
budget-window-s = 10
probes-per-s = 60
"""


@attrs.define(eq=False)
class Gate:
    """One gate host and its process.

    Attributes:
        name: Node name.
        settings: Settings file.
        observation: State as the checks observe it.
        control_proxy: Proxy through which other gate hosts reach its control
            address.
        store_proxy: Proxy through which this gate host reaches the store.
        grace_s: Time between SIGTERM and SIGKILL.
        log: File with the output of the process.
        other_build: Sources of another build, which every second start uses.
        process: The process, once it has been started.
    """

    name: str
    settings: pathlib.Path
    observation: soak_checks.GateObservation
    control_proxy: tcp_proxy.TcpProxy
    store_proxy: tcp_proxy.TcpProxy
    grace_s: float
    log: pathlib.Path
    other_build: pathlib.Path | None = None
    process: asyncio.subprocess.Process | None = None
    _starting: asyncio.Lock = attrs.field(factory=asyncio.Lock)

    async def start(self) -> None:
        """Starts the process, unless it is running.

        Two overlapping faults may both have ended it and start it again.
        """
        async with self._starting:
            if self.process is None or self.process.returncode is not None:
                await self._start()

    async def _start(self) -> None:
        self.observation.starts += 1
        self.observation.newest_served = 0
        paths = list(filter(None, sys.path))
        if self.other_build is not None and self.observation.starts % 2 == 0:
            paths.insert(0, str(self.other_build))
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "fireflyspindle.platform",
                env={
                    settings_lib.SETTINGS_PATH_VARIABLE: str(self.settings),
                    "PYTHONPATH": ":".join(paths),
                },
                stdout=log,
                stderr=log,
            )

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Sends a signal to the process if it is still running."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal_number)

    async def wait(self) -> None:
        """Waits until the process has ended."""
        if self.process is not None:
            await self.process.wait()


async def record_starvation(
    gates: list[Gate], record: Callable[[str], None]
) -> None:
    """Records gate hosts that get no processor, until the task is cancelled.

    On a busy machine that explains requests without an answer. While this
    process itself gets none, it misses the answers of all of them.

    Args:
        gates: The gate hosts.
        record: Records a description.
    """
    latest: dict[int, float] = {}

    def is_starved(name: str, pid: int) -> bool:
        wait_s = processor_wait_s(pid)
        increase_s = wait_s - latest.get(pid, wait_s)
        latest[pid] = wait_s
        if increase_s >= RECORDED_WAIT_S:
            record(f"{name} waited {increase_s:.2f} s for a processor")
        return increase_s >= STARVED_S

    while True:
        now_s = asyncio.get_running_loop().time()
        all_starved = is_starved("the soak", os.getpid())
        for gate in gates:
            process = gate.process
            starved = process and is_starved(gate.name, process.pid)
            if starved or all_starved:
                gate.observation.last_starved_s = now_s
        await asyncio.sleep(SAMPLE_S)


def processor_wait_s(pid: int) -> float:
    """Returns how long a process was ready to run but did not.

    That is 0 where the system doesn't tell, or the process has ended.
    """
    try:
        text = pathlib.Path(f"/proc/{pid}/schedstat").read_text()
        return int(text.split()[1]) / 1e9
    except (OSError, IndexError, ValueError):
        return 0.0


async def make_gates(
    directory: pathlib.Path,
    count: int,
    store_address: str,
    other_build: pathlib.Path | None = None,
    *,
    zones: tuple[str, ...] = ("a",),
    has_store_proxies: bool = True,
) -> list[Gate]:
    """Returns gate hosts; the first `READER_COUNT` read the store for all.

    Args:
        directory: Directory for settings and logs.
        count: Number of gate hosts.
        store_address: Address of the store.
        other_build: Sources of another build that every second start uses.
        zones: Failure domains that they are in by turns.
        has_store_proxies: Whether each reaches the store through its proxy. A
            proxy accepts connections while the store doesn't.
    """
    proxies = {}
    proxy_addresses = {}
    for _ in range(count):
        # Readers agree by address on which one leads: their own addresses and
        # those of their proxies have to be in the same order.
        control = testing.free_address()
        proxies[control] = tcp_proxy.TcpProxy(control)
        proxy_addresses[control] = await proxies[control].start(
            testing.free_address()
        )
    readers = list(proxy_addresses)[:READER_COUNT]
    gates = []
    for number, control in enumerate(proxy_addresses):
        address = testing.free_address()
        settings = directory / f"gate-{number}.toml"
        # A gate host recognizes itself by its own address, and reaches the
        # others through their proxies.
        reader_addresses = [
            reader if reader == control else proxy_addresses[reader]
            for reader in readers
        ]
        store_proxy = tcp_proxy.TcpProxy(store_address)
        proxy_address = await store_proxy.start(testing.free_address())
        has_short_grace = number % SHORT_GRACE_STEP == 1
        grace_s = SHORT_GRACE_S if has_short_grace else GRACE_S
        settings.write_text(
            SETTINGS_TEMPLATE.format(
                number=number,
                zone=zones[number % len(zones)],
                callers=address,
                ready=testing.free_address(),
                control=control,
                readers=json.dumps(reader_addresses),
                store=proxy_address if has_store_proxies else store_address,
                grace_s=grace_s,
            )
        )
        gate = Gate(
            f"gate-{number}",
            settings,
            soak_checks.GateObservation(address),
            proxies[control],
            store_proxy,
            grace_s,
            directory / f"gate-{number}.log",
            other_build,
        )
        if other_build is not None and number % 2:
            # Starts with the other build.
            gate.observation.starts = 1
        gates.append(gate)
    return gates
