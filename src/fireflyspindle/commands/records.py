"""Operator commands that use the administration API."""

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
DEFAULT_CONTROL_ADDRESS = "127.0.0.1:8081"
TIMEOUT_S = 75.0
MAX_WAIT_MS = 30_000


@attrs.define(frozen=True)
class Response:
    """A response of the administration API."""

    http_status: int
    content: dict[str, Any]

    @property
    def ok(self) -> bool:
        """Whether the request succeeded."""
        return self.http_status == 200


class Client:
    """A client of the administration API of one gate host."""

    def __init__(self, session: aiohttp.ClientSession, address: str) -> None:
        self._session = session
        self._base_url = f"http://{address}"

    async def get(self, path: str, **query: str) -> Response:
        """Sends a GET request."""
        async with self._session.get(
            self._base_url + path, params=query
        ) as response:
            if response.status == 404 and (
                response.content_type != "application/json"
            ):
                detail = f"the gate host does not serve {path}; is it older?"
                return Response(response.status, {"detail": detail})
            return Response(response.status, await response.json())

    async def post(self, path: str, content: dict, **query: str) -> Response:
        """Sends a POST request with JSON content."""
        async with self._session.post(
            self._base_url + path, json=content, params=query
        ) as response:
            return Response(response.status, await response.json())


def publish(
    *,
    file: pathlib.Path,
    gate: str = DEFAULT_CONTROL_ADDRESS,
    wait: bool = False,
) -> int:
    """Publishes the records of a file in order.

    The token of your team is read from the environment variable
    FIREFLYSPINDLE_TOKEN. If a record has no expected_revision, its current
    revision is read first and expected; a change in between is a conflict.

    Args:
        file: TOML file with [[records]], each with kind, name and payload.
        gate: Control address of any gate host.
        wait: Wait until each record is in force on every gate host.

    Returns:
        The exit status.
    """
    changes = _read_file(file)
    if isinstance(changes, result.Err):
        return _report_error(changes.err_value, status.USAGE_ERROR)

    async def operation(client: Client) -> int:
        for change in changes.ok_value:
            response = await _publish_record(client, change, wait)
            print(json.dumps(response.content))
            if not response.ok or (
                wait and not response.content["in_force_everywhere"]
            ):
                return status.FAILURE
        return status.SUCCESS

    return run_with_client(gate, operation)


async def _publish_record(client: Client, change: dict, wait: bool) -> Response:
    if "expected_revision" not in change:
        current = await client.get(
            f"/admin/records/{change.get('kind')}/{change.get('name')}"
        )
        if current.http_status not in (200, 404):
            return current
        revision = current.content.get("revision", 0)
        change = {**change, "expected_revision": revision}
    wait_ms = str(MAX_WAIT_MS if wait else 0)
    return await client.post("/admin/records", change, wait_ms=wait_ms)


def validate(*, file: pathlib.Path) -> int:
    """Validates the records of a file without contacting a gate host.

    Args:
        file: TOML file with [[records]].

    Returns:
        The exit status: 1 if a record is invalid.
    """
    changes = _read_file(file)
    if isinstance(changes, result.Err):
        return _report_error(changes.err_value, status.USAGE_ERROR)
    invalid_count = 0
    for index, change in enumerate(changes.ok_value):
        checked = admin_changes.check_change(
            {"expected_revision": 0, **change}, "nobody"
        )
        name = f"records[{index}]"
        if isinstance(checked, result.Err):
            invalid_count += 1
            print(f"{file}: {name}: {checked.err_value}", file=sys.stderr)
        else:
            print(f"{name}: {checked.ok_value.key} is valid")
    return status.FAILURE if invalid_count else status.SUCCESS


def show(*, gate: str = DEFAULT_CONTROL_ADDRESS, key: str = "") -> int:
    """Shows the records in force on a gate host.

    Args:
        gate: Control address of a gate host.
        key: Key of the record, "kind/name"; all records if not given.

    Returns:
        The exit status.
    """
    path = f"/admin/records/{key}" if key else "/admin/records"
    return run_with_client(
        gate, lambda client: _print_content(client.get(path))
    )


def history(
    *,
    gate: str = DEFAULT_CONTROL_ADDRESS,
    key: str = "",
    conflicts: bool = False,
) -> int:
    """Shows the records that the log retains, including refused ones.

    Args:
        gate: Control address of a gate host.
        key: Show only this key, "kind/name".
        conflicts: Show only refused records.

    Returns:
        The exit status.
    """
    query = {"key": key} if key else {}
    if conflicts:
        query["conflicts"] = "yes"
    return run_with_client(
        gate,
        lambda client: _print_content(client.get("/admin/history", **query)),
    )


def gate_status(*, gate: str = DEFAULT_CONTROL_ADDRESS) -> int:
    """Shows the state of one gate host.

    Args:
        gate: Control address of the gate host.

    Returns:
        The exit status.
    """
    return run_with_client(
        gate, lambda client: _print_content(client.get("/state"))
    )


async def _print_content(request: Awaitable[Response]) -> int:
    response = await request
    if not response.ok:
        detail = response.content.get("detail", response.content)
        return _report_error(str(detail), status.FAILURE)
    print(json.dumps(response.content, indent=2))
    return status.SUCCESS


def run_with_client(
    address: str,
    operation: Callable[[Client], Awaitable[int]],
    option: str = "--gate",
) -> int:
    """Runs an operation with a client of a gate host.

    Args:
        address: Control address of the gate host.
        operation: Returns the exit status.
        option: Name of the option that gives the address.

    Returns:
        The exit status.
    """
    problem = addresses.validation_error(address)
    if problem is not None:
        return _report_error(f"{option} is {problem}", status.USAGE_ERROR)

    async def run() -> int:
        token = os.environ.get(TOKEN_VARIABLE, "")
        async with aiohttp.ClientSession(
            headers={"Authorization": f"Bearer {token}"},
            timeout=aiohttp.ClientTimeout(total=TIMEOUT_S),
        ) as session:
            return await operation(Client(session, address))

    try:
        return asyncio.run(run())
    except (aiohttp.ClientError, TimeoutError, ValueError) as error:
        problem = f"request to gate host {address} failed: {error}"
        return _report_error(problem, status.FAILURE)


def _read_file(path: pathlib.Path) -> result.Result[list[dict], str]:
    try:
        content = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        return result.Err(f"{path}: can't be read as TOML: {error}")
    changes = content.get("records")
    if not isinstance(changes, list) or len(content) != 1 or not changes:
        found = ", ".join(content) or "nothing"
        return result.Err(f"{path}: expected only [[records]], found {found}")
    for index, change in enumerate(changes):
        if not isinstance(change, dict):
            return result.Err(f"{path}: records[{index}] is not a table")
        if change.pop("delete", False):
            change["payload"] = None
    return result.Ok(changes)


def _report_error(problem: str, exit_status: int) -> int:
    print(problem, file=sys.stderr)
    return exit_status


COMMANDS = {
    "publish": publish,
    "validate": validate,
    "show": show,
    "history": history,
    "status": gate_status,
}
