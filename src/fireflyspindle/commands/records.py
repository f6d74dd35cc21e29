"""Operator commands: publish and read records by the administration API."""

import asyncio
from collections.abc import Awaitable, Callable
import json
import os
import pathlib
import sys
import tomllib
from typing import Any

import aiohttp
import attrs
import result

from fireflyspindle.adapters import admin_changes
from fireflyspindle.commands import status
from fireflyspindle.core import addresses

TOKEN_VARIABLE = "FIREFLYSPINDLE_TOKEN"
CONTROL_ADDRESS = "127.0.0.1:8081"
TIMEOUT_S = 75.0
WAIT_MS = 30_000


@attrs.define(frozen=True)
class Answer:
    """An answer of the administration API."""

    http_status: int
    content: dict[str, Any]

    @property
    def ok(self) -> bool:
        """Whether it says that it was done."""
        return self.http_status == 200


class Client:
    """Asks one gate host's administration API."""

    def __init__(self, session: aiohttp.ClientSession, address: str) -> None:
        self._session = session
        self._base = f"http://{address}"

    async def get(self, path: str, **query: str) -> Answer:
        """Reads."""
        async with self._session.get(self._base + path, params=query) as answer:
            return Answer(answer.status, await answer.json())

    async def post(self, path: str, content: dict, **query: str) -> Answer:
        """Publishes or validates."""
        async with self._session.post(
            self._base + path, json=content, params=query
        ) as answer:
            return Answer(answer.status, await answer.json())


def publish(
    *, file: pathlib.Path, gate: str = CONTROL_ADDRESS, wait: bool = False
) -> int:
    """Publishes the records of a file, one after the other.

    The token of your team is read from the environment variable
    FIREFLYSPINDLE_TOKEN. A record that states no expected_revision replaces
    the revision that is read just before; a change in between is a conflict.

    Args:
        file: TOML file with [[records]], each with kind, name and payload.
        gate: Control address of any gate host.
        wait: Wait until each record is in force on every gate host.

    Returns:
        The exit status.
    """
    changes = _read_file(file)
    if isinstance(changes, result.Err):
        return _fail(changes.err_value, status.BAD_USE)

    async def work(client: Client) -> int:
        for change in changes.ok_value:
            answer = await _publish_one(client, change, wait)
            print(json.dumps(answer.content))
            if not answer.ok or (
                wait and not answer.content["in_force_everywhere"]
            ):
                return status.FAILURE
        return status.SUCCESS

    return _ask(gate, work)


async def _publish_one(client: Client, change: dict, wait: bool) -> Answer:
    if "expected_revision" not in change:
        found = await client.get(
            f"/admin/records/{change.get('kind')}/{change.get('name')}"
        )
        if found.http_status not in (200, 404):
            return found
        revision = found.content.get("revision", 0)
        change = {**change, "expected_revision": revision}
    wait_ms = str(WAIT_MS if wait else 0)
    return await client.post("/admin/records", change, wait_ms=wait_ms)


def validate(*, file: pathlib.Path) -> int:
    """Checks the records of a file without any gate host.

    Args:
        file: TOML file with [[records]].

    Returns:
        The exit status: 1 when a record is wrong.
    """
    changes = _read_file(file)
    if isinstance(changes, result.Err):
        return _fail(changes.err_value, status.BAD_USE)
    wrong = 0
    for index, change in enumerate(changes.ok_value):
        checked = admin_changes.check_change(
            {"expected_revision": 0, **change}, "nobody"
        )
        name = f"records[{index}]"
        if isinstance(checked, result.Err):
            wrong += 1
            print(f"{file}: {name}: {checked.err_value}", file=sys.stderr)
        else:
            print(f"{name}: {checked.ok_value.key} is valid")
    return status.FAILURE if wrong else status.SUCCESS


def show(*, gate: str = CONTROL_ADDRESS, key: str = "") -> int:
    """Shows one record, or all, as one gate host has them in force.

    Args:
        gate: Control address of a gate host.
        key: Key of the record, "kind/name"; all when it is not given.

    Returns:
        The exit status.
    """
    path = f"/admin/records/{key}" if key else "/admin/records"
    return _ask(gate, lambda client: _print(client.get(path)))


def history(
    *,
    gate: str = CONTROL_ADDRESS,
    key: str = "",
    conflicts: bool = False,
) -> int:
    """Shows the records that the log still holds, refused ones included.

    Args:
        gate: Control address of a gate host.
        key: Only this key, "kind/name".
        conflicts: Only records that were refused.

    Returns:
        The exit status.
    """
    query = {"key": key} if key else {}
    if conflicts:
        query["conflicts"] = "yes"
    return _ask(
        gate, lambda client: _print(client.get("/admin/history", **query))
    )


def gate_status(*, gate: str = CONTROL_ADDRESS) -> int:
    """Shows the state of one gate host.

    Args:
        gate: Control address of the gate host.

    Returns:
        The exit status.
    """
    return _ask(gate, lambda client: _print(client.get("/state")))


async def _print(asked: Awaitable[Answer]) -> int:
    answer = await asked
    if not answer.ok:
        detail = answer.content.get("detail", answer.content)
        return _fail(str(detail), status.FAILURE)
    print(json.dumps(answer.content, indent=2))
    return status.SUCCESS


def _ask(address: str, work: Callable[[Client], Awaitable[int]]) -> int:
    why = addresses.problem(address)
    if why is not None:
        return _fail(f"--gate is {why}", status.BAD_USE)

    async def run() -> int:
        token = os.environ.get(TOKEN_VARIABLE, "")
        async with aiohttp.ClientSession(
            headers={"Authorization": f"Bearer {token}"},
            timeout=aiohttp.ClientTimeout(total=TIMEOUT_S),
        ) as session:
            return await work(Client(session, address))

    try:
        return asyncio.run(run())
    except (aiohttp.ClientError, TimeoutError, ValueError) as error:
        why = f"gate host {address} can't be asked: {error}"
        return _fail(why, status.FAILURE)


def _read_file(path: pathlib.Path) -> result.Result[list[dict], str]:
    try:
        content = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        return result.Err(f"{path}: can't be read as TOML: {error}")
    changes = content.get("records")
    if not isinstance(changes, list) or len(content) != 1 or not changes:
        found = ", ".join(content) or "nothing"
        return result.Err(f"{path}: found {found}; give [[records]] only")
    for index, change in enumerate(changes):
        if not isinstance(change, dict):
            return result.Err(f"{path}: records[{index}] is not a table")
        if change.pop("delete", False):
            change["payload"] = None
    return result.Ok(changes)


def _fail(why: str, exit_status: int) -> int:
    print(why, file=sys.stderr)
    return exit_status


COMMANDS = {
    "publish": publish,
    "validate": validate,
    "show": show,
    "history": history,
    "status": gate_status,
}
