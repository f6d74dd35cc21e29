"""The stand-in of the platform's store as a process of its own.

It keeps what it acknowledges in a file that belongs to the run, so that it can
be ended by SIGKILL and started again on the same address. Its parent writes
records by commands on its standard input; each is acknowledged by a line on
its standard output. It ends with its parent.
"""

import asyncio
import base64
import itertools
import json
import os
import pathlib
import sys
from typing import Any

import attrs

from fireflyspindle import testing
from fireflyspindle.testing import store as store_lib

POLL_INTERVAL_S = 0.01
START_TIMEOUT_S = 30.0
# A document with 700 routes takes some 200 kB as a line.
MAX_LINE_BYTES = 1 << 24


@attrs.frozen
class AsBefore:
    """The store comes back with all records that it kept."""


@attrs.frozen
class HistoryDropped:
    """Only the newest record of each key is retained, at its old offset."""


@attrs.frozen
class Renumbered:
    """The newest record of each key is retained; offsets begin again at 0."""


Return = AsBefore | HistoryDropped | Renumbered


class KeptStore(store_lib.StandInStore):
    """Keeps each record in a file before it is acknowledged.

    Args:
        path: The file.
    """

    def __init__(self, path: pathlib.Path) -> None:
        super().__init__()
        self._path = path
        if path.exists():
            for line in path.read_text().splitlines():
                self._load(json.loads(line))
        self._rewrite()

    def _load(self, line: dict[str, Any]) -> None:
        topic = self.topics[line["topic"]]
        if "first-offset" in line:
            topic.first_offset = line["first-offset"]
        else:
            topic.records.append((line["key"], _decode(line["value"])))

    def _rewrite(self) -> None:
        lines = []
        for name, topic in self.topics.items():
            lines.append(_line({"topic": name, **_first_offset(topic)}))
            lines += [_record_line(name, *record) for record in topic.records]
        new_path = self._path.with_suffix(".new")
        new_path.write_text("".join(lines))
        new_path.rename(self._path)

    def write(self, topic: str, key: str, value: object) -> None:
        """Writes a record and keeps it."""
        self.write_unkept(topic, key, value)
        with self._path.open("a") as file:
            file.write(_record_line(topic, *self.topics[topic].records[-1]))

    def write_unkept(self, topic: str, key: str, value: object) -> None:
        """Writes a record that hosts can read until the process ends."""
        super().write(topic, key, value)

    def forget(self, topic: str) -> None:
        """Expires all records, for good."""
        super().forget(topic)
        self._rewrite()

    def change(self, how: Return) -> None:
        """Changes what a store that starts again has kept."""
        match how:
            case HistoryDropped():
                for topic in self.topics.values():
                    topic.first_offset = topic.end_offset
            case Renumbered():
                for topic in self.topics.values():
                    topic.records = [
                        (key, value)
                        for key, (_, value) in topic.newest().items()
                    ]
                    topic.first_offset = 0
            case AsBefore():
                return
        self._rewrite()

    def execute(self, command: dict[str, Any]) -> None:
        """Executes a command of the parent."""
        match command:
            case {"write": [topic, key, value], "kept": True}:
                self.write(topic, key, _decode(value))
            case {"write": [topic, key, value]}:
                self.write_unkept(topic, key, _decode(value))
            case {"forget": topic}:
                self.forget(topic)
            case {"set": values}:
                self.set(**values)
            case _:
                raise ValueError(f"unknown command: {command}")


class StoreProcess:
    """A store in a process that can be killed and started again.

    What is written while it doesn't run, or not acknowledged when it is
    killed, is written as it starts again, before any host can read.

    Args:
        directory: Directory for its file, which outlives the process.

    Attributes:
        address: Address, the same after each start.
        path: The file with the records that it keeps.
        killed_s: Loop time of the last SIGKILL.
        returned_s: Loop time at which it was last seen to accept connections.
    """

    def __init__(self, directory: pathlib.Path) -> None:
        self.address = testing.free_address()
        self.path = directory / "store"
        self.killed_s = -1e9
        self.returned_s = -1e9
        self._process: asyncio.subprocess.Process | None = None
        self._acknowledgements: asyncio.Task[None] | None = None
        self._numbers = itertools.count(1)
        self._pending: dict[
            int, tuple[dict[str, Any], asyncio.Future[float]]
        ] = {}
        self._settings: dict[str, Any] = {}

    @property
    def is_running(self) -> bool:
        """Whether the process runs and accepts commands."""
        return self._process is not None

    async def start(self, how: Return | None = None) -> None:
        """Starts the process and waits until it accepts connections.

        Args:
            how: What the store has kept since it was killed.
        """
        kept = KeptStore(self.path)
        kept.change(how or AsBefore())
        pending = list(self._pending.values())
        self._pending.clear()
        for command, _ in pending:
            kept.execute(command)
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            __spec__.name,
            self.address,
            str(self.path),
            env={**os.environ, "PYTHONPATH": ":".join(filter(None, sys.path))},
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            limit=MAX_LINE_BYTES,
        )
        assert process.stdout is not None
        async with asyncio.timeout(START_TIMEOUT_S):
            if not await process.stdout.readline():
                raise RuntimeError("the process of the store ended")
        now_s = _now_s()
        self.returned_s = now_s
        for _, acknowledged in pending:
            if not acknowledged.done():
                acknowledged.set_result(now_s)
        self._process = process
        self._acknowledgements = asyncio.create_task(
            self._read_acknowledgements(process.stdout)
        )
        if self._settings:
            self._send({"set": self._settings})

    async def kill(self) -> None:
        """Ends the process by SIGKILL."""
        process, self._process = self._process, None
        if process is None or self._acknowledgements is None:
            return
        process.kill()
        self.killed_s = _now_s()
        await process.wait()
        # Reads the acknowledgements that were sent before the end.
        await self._acknowledgements

    def write(
        self, topic: str, key: str, value: object
    ) -> asyncio.Future[float]:
        """Writes a record; None deletes the key.

        Returns:
            A future with the loop time of the acknowledgement.
        """
        command = {"write": [topic, key, _encode(value)], "kept": True}
        return self._command(command)

    def write_unkept(self, topic: str, key: str, value: object) -> None:
        """Writes a record that is neither acknowledged nor kept."""
        self._send({"write": [topic, key, _encode(value)], "kept": False})

    def forget(self, topic: str) -> asyncio.Future[float]:
        """Expires all records; the newest of each key is still served."""
        return self._command({"forget": topic})

    def set(self, **values: Any) -> None:
        """Sets attributes of the store, also for later starts."""
        self._settings |= values
        self._send({"set": values})

    def _command(self, command: dict[str, Any]) -> asyncio.Future[float]:
        number = next(self._numbers)
        acknowledged = asyncio.get_running_loop().create_future()
        self._pending[number] = command, acknowledged
        self._send({"id": number, **command})
        return acknowledged

    def _send(self, command: dict[str, Any]) -> None:
        if self._process is not None and self._process.stdin is not None:
            self._process.stdin.write(_line(command).encode())

    async def _read_acknowledgements(self, lines: asyncio.StreamReader) -> None:
        while line := await lines.readline():
            _, acknowledged = self._pending.pop(int(line))
            if not acknowledged.done():
                acknowledged.set_result(_now_s())


def _now_s() -> float:
    return asyncio.get_running_loop().time()


def _line(content: dict[str, Any]) -> str:
    return json.dumps(content) + "\n"


def _first_offset(topic: store_lib.Topic) -> dict[str, int]:
    return {"first-offset": topic.first_offset}


def _record_line(topic: str, key: str, value: bytes | None) -> str:
    return _line({"topic": topic, "key": key, "value": _encode(value)})


def _encode(value: object) -> str | None:
    if value is None:
        return None
    if not isinstance(value, bytes):
        value = json.dumps(value).encode()
    return base64.b64encode(value).decode()


def _decode(value: str | None) -> bytes | None:
    return None if value is None else base64.b64decode(value)


async def _serve(address: str, path: pathlib.Path) -> None:
    store = KeptStore(path)
    server = testing.Server(store.application())
    await server.start(address)
    print("ready", flush=True)
    commands = asyncio.StreamReader(limit=MAX_LINE_BYTES)
    await asyncio.get_running_loop().connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(commands), sys.stdin
    )
    while line := await commands.readline():
        command = json.loads(line)
        store.execute(command)
        if "id" in command:
            print(command["id"], flush=True)
    await server.close()


if __name__ == "__main__":
    asyncio.run(_serve(sys.argv[1], pathlib.Path(sys.argv[2])))
