"""The gate hosts of the soak, each a process of its own."""

import asyncio
import json
import pathlib
import signal
import sys

import attrs

from fireflyspindle import testing
from fireflyspindle.bench import soak_promises
from fireflyspindle.platform import settings as settings_lib
from fireflyspindle.testing import tcp_proxy

# Gate hosts that read the store for all, as on the platform.
READERS = 3

SETTINGS = """
[self]
node-name = "gate-{number}"
zone = "a"
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
grace-s = 6
retry-budget-ratio = 0.2
retry-slack = 60
budget-window-s = 10
probes-per-s = 60
"""


@attrs.define(eq=False)
class Gate:
    """One gate host and its process.

    Attributes:
        name: Its name.
        settings: Its settings file.
        watched: What the checks know of it.
        feed: Stands before its control address, for the other gate hosts.
        log: What it writes.
        process: Its process.
    """

    name: str
    settings: pathlib.Path
    watched: soak_promises.Watched
    feed: tcp_proxy.TcpProxy
    log: pathlib.Path
    process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Starts the process."""
        self.watched.starts += 1
        self.watched.served = 0
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "fireflyspindle.platform",
                env={
                    settings_lib.PATH_VARIABLE: str(self.settings),
                    "PYTHONPATH": ":".join(filter(None, sys.path)),
                },
                stdout=log,
                stderr=log,
            )

    def send(self, number: signal.Signals) -> None:
        """Signals the process by its id, if it still runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def wait(self) -> None:
        """Waits until the process has ended."""
        if self.process is not None:
            await self.process.wait()


async def make(
    folder: pathlib.Path, count: int, store_address: str
) -> list[Gate]:
    """Returns gate hosts, of which the first three read for the others."""
    feeds = {}
    for _ in range(count):
        control = testing.free_address()
        feeds[control] = tcp_proxy.TcpProxy(control)
    reached = {control: await feed.start() for control, feed in feeds.items()}
    readers = list(reached)[:READERS]
    made = []
    for number, control in enumerate(reached):
        address = testing.free_address()
        settings = folder / f"gate-{number}.toml"
        # A gate host finds itself by its own address, others by the proxy's.
        listed = [
            reader if reader == control else reached[reader]
            for reader in readers
        ]
        settings.write_text(
            SETTINGS.format(
                number=number,
                callers=address,
                ready=testing.free_address(),
                control=control,
                readers=json.dumps(listed),
                store=store_address,
            )
        )
        made.append(
            Gate(
                f"gate-{number}",
                settings,
                soak_promises.Watched(address),
                feeds[control],
                folder / f"gate-{number}.log",
            )
        )
    return made
