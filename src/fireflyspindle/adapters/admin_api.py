"""The administration API: publishes and reads configuration records."""

import asyncio
from typing import Any, Protocol

from aiohttp import web
import attrs
import result

from fireflyspindle import administration
from fireflyspindle import logs
from fireflyspindle import settings as settings_lib
from fireflyspindle.adapters import admin_changes
from fireflyspindle.adapters import log_client
from fireflyspindle.core import configuration
from fireflyspindle.core import events
from fireflyspindle.core import members
from fireflyspindle.core import publishing
from fireflyspindle.core import record_outcomes
from fireflyspindle.core import records
from fireflyspindle.core import rollout
from fireflyspindle.core import state as state_lib

POLL_S = 0.02
MAX_WAIT_MS = 60_000
_TEAM = web.RequestKey("team", settings_lib.TeamSettings)


class Gate(Protocol):
    """The part of a gate that the administration API uses."""

    state: state_lib.GateState
    log: log_client.LogClient
    settings: settings_lib.Settings

    def now_us(self) -> int:
        """Returns the monotonic time."""


def application(gate: Gate) -> web.Application:
    """Returns the application that is mounted at /admin."""
    handlers = _Handlers(gate)
    app = web.Application(
        client_max_size=2 * records.MAX_RECORD_BYTES,
        middlewares=[authentication(gate.settings.administration.teams)],
    )
    app.add_routes(
        [
            web.get("/records", handlers.read_all),
            web.get("/records/{kind}/{name:.+}", handlers.read_one),
            web.post("/records", handlers.publish),
            web.post("/validate", handlers.validate),
            web.get("/history", handlers.history),
            web.get("/in-force", handlers.in_force),
        ]
    )
    return app


def authentication(
    teams: tuple[settings_lib.TeamSettings, ...],
) -> Any:
    """Returns a middleware that refuses requests without a team's token."""

    @web.middleware
    async def check(request: web.Request, handler: Any) -> web.StreamResponse:
        authorization = request.headers.get("Authorization", "")
        team = administration.authenticate(teams, authorization)
        if team is None:
            logs.logger.warning(
                "administration request rejected: missing or unknown token",
                code="bad_token",
                path=request.path,
                remote=request.remote,
            )
            refusal = admin_changes.Refusal(
                401,
                "bad_token",
                "the token is missing or belongs to no team; send the header"
                " `Authorization: Bearer TOKEN`",
            )
            return refusal.response()
        request[_TEAM] = team
        response: web.StreamResponse = await handler(request)
        return response

    return check


class _Handlers:
    def __init__(self, gate: Gate) -> None:
        self._gate = gate

    @property
    def _config(self) -> configuration.Configuration:
        return self._gate.state.configuration

    async def read_all(self, _request: web.Request) -> web.Response:
        entries = sorted(self._config.entries.items())
        return web.json_response(
            {
                "next_offset": self._config.next_offset,
                "records": [self._record_data(entry) for _, entry in entries],
            }
        )

    async def read_one(self, request: web.Request) -> web.Response:
        key = f"{request.match_info['kind']}/{request.match_info['name']}"
        entry = self._config.entries.get(key)
        if entry is None:
            detail = f"no record has the key {key!r}"
            return admin_changes.Refusal(404, "no_record", detail).response()
        return web.json_response(self._record_data(entry))

    def _record_data(self, entry: configuration.Entry) -> dict:
        data = attrs.asdict(entry.record)
        data["revision"] = entry.revision
        data["offset"] = entry.revision - 1
        data["unreadable"] = self._config.read_errors.get(entry.record.key)
        return data

    async def validate(self, request: web.Request) -> web.Response:
        match await _read_change(request):
            case admin_changes.Refusal() as refusal:
                return refusal.response()
            case records.Envelope(key=key):
                return web.json_response({"valid": True, "key": key})

    async def publish(self, request: web.Request) -> web.Response:
        wait_ms = _integer_parameter(request, "wait_ms", 0, MAX_WAIT_MS)
        if isinstance(wait_ms, admin_changes.Refusal):
            return wait_ms.response()
        change = await _read_change(request)
        if isinstance(change, admin_changes.Refusal):
            return change.response()
        team = request[_TEAM]
        if not administration.may_write(team, change.key):
            return _denied(team, change.key).response()
        problem = publishing.reader_version_error(
            change, self._lowest_reader_version()
        )
        if problem is not None:
            return admin_changes.Refusal(
                409, "reader_too_old", problem
            ).response()
        current = self._config.entries.get(change.key)
        revision = current.revision if current else 0
        if change.expected_revision < revision and not _is_repeat(
            current, change
        ):
            return _conflict(change, revision).response()
        outcome = await self._append(change)
        logs.logger.info(
            "request to publish a record completed",
            code="record_published",
            key=change.key,
            author=change.author,
            record_id=change.record_id,
            settled=type(outcome).__name__,
        )
        return await self._respond(change, outcome, wait_ms)

    def _lowest_reader_version(self) -> int:
        state = self._gate.state
        return members.lowest_reader_version(
            state.membership, state.settings.reader_version, state.now_us
        )

    async def _append(
        self, change: records.Envelope
    ) -> publishing.PublishOutcome:
        appended = await self._gate.log.append(
            configuration.STREAM, records.encode(change)
        )
        attempt = publishing.Attempt(
            change, appended.outcome, appended.offset, self._gate.now_us()
        )
        while True:
            outcome = publishing.resolve_outcome(
                self._config, attempt, self._gate.now_us()
            )
            if not isinstance(outcome, publishing.Pending):
                return outcome
            await asyncio.sleep(POLL_S)

    async def _respond(
        self,
        change: records.Envelope,
        outcome: publishing.PublishOutcome,
        wait_ms: int,
    ) -> web.Response:
        match outcome:
            case publishing.Accepted(offset):
                data = await self._wait_in_force(offset, wait_ms)
                data["key"] = change.key
                data["revision"] = outcome.revision
                data["record_id"] = change.record_id
                return web.json_response(data)
            case publishing.Conflict(found_revision=found_revision):
                return _conflict(change, found_revision).response()
            case publishing.NotAppended():
                detail = "the log did not append the record; publish it again"
                return admin_changes.Refusal(
                    503, "not_appended", detail
                ).response()
            case _:
                detail = (
                    "it is unknown whether the log appended the record; it is"
                    " safe to publish it again with record id"
                    f" {change.record_id}"
                )
                return admin_changes.Refusal(504, "unknown", detail).response()

    async def in_force(self, request: web.Request) -> web.Response:
        offset = _integer_parameter(request, "offset", 0, records.MAX_REVISION)
        wait_ms = _integer_parameter(request, "wait_ms", 0, MAX_WAIT_MS)
        for parameter in (offset, wait_ms):
            if isinstance(parameter, admin_changes.Refusal):
                return parameter.response()
        assert isinstance(offset, int)
        assert isinstance(wait_ms, int)
        return web.json_response(await self._wait_in_force(offset, wait_ms))

    async def _wait_in_force(self, offset: int, wait_ms: int) -> dict:
        until_us = self._gate.now_us() + wait_ms * 1000
        rollout.poll_until_applied(self._gate.state, offset + 1, wait_ms * 1000)
        while True:
            behind = rollout.lagging_hosts(self._gate.state, offset + 1)
            everywhere = not behind
            if everywhere or self._gate.now_us() >= until_us:
                return {
                    "offset": offset,
                    "in_force_everywhere": everywhere,
                    "behind": behind,
                }
            await asyncio.sleep(POLL_S)

    async def history(self, request: web.Request) -> web.Response:
        key = request.query.get("key")
        conflicts_only = request.query.get("conflicts") == "yes"
        data: list[dict] = []
        offset = 0
        while True:
            batch = await self._gate.log.read(
                configuration.STREAM, offset, wait=False
            )
            if batch is None:
                detail = "the log can't be read; try again later"
                return admin_changes.Refusal(503, "log_down", detail).response()
            for entry in batch.entries:
                data += self._history_data(entry, key, conflicts_only)
                offset = entry.offset + 1
            if not batch.entries or offset >= batch.next_offset:
                break
        return web.json_response(
            {"earliest_offset": batch.earliest_offset, "records": data}
        )

    def _history_data(
        self, entry: events.LogEntry, key: str | None, conflicts_only: bool
    ) -> list[dict]:
        decoded = records.decode(entry.body)
        if isinstance(decoded, result.Err):
            return []
        record = decoded.ok_value
        if key is not None and record.key != key:
            return []
        accepted = self._was_accepted(record.record_id, entry.offset)
        if conflicts_only and accepted is not False:
            return []
        data = attrs.asdict(record)
        data["offset"] = entry.offset
        data["accepted"] = accepted
        return [data]

    def _was_accepted(self, record_id: str, offset: int) -> bool | None:
        match self._config.record_outcomes.get(record_id):
            case record_outcomes.Accepted(accepted_offset):
                return accepted_offset == offset
            case record_outcomes.Refused():
                return False
            case _:
                return None


async def _read_change(
    request: web.Request,
) -> records.Envelope | admin_changes.Refusal:
    raw = records.load_json(await request.text())
    checked = raw.and_then(
        lambda content: admin_changes.check_change(content, request[_TEAM].name)
    )
    if isinstance(checked, result.Err):
        return admin_changes.Refusal(400, "bad_record", checked.err_value)
    return checked.ok_value


def _is_repeat(
    entry: configuration.Entry | None, change: records.Envelope
) -> bool:
    return entry is not None and entry.record.record_id == change.record_id


def _conflict(change: records.Envelope, revision: int) -> admin_changes.Refusal:
    return admin_changes.Refusal(
        409,
        "conflict",
        f"{change.key} has revision {revision}, not"
        f" {change.expected_revision}; read the record and publish again"
        " with its current revision",
    )


def _denied(team: settings_lib.TeamSettings, key: str) -> admin_changes.Refusal:
    logs.logger.warning(
        "administration request rejected: the team may not write the key",
        code="key_denied",
        team=team.name,
        key=key,
    )
    accepted = ", ".join(team.may_write) or "none"
    return admin_changes.Refusal(
        403,
        "key_denied",
        f"team {team.name} may not write {key}; it may write {accepted}",
    )


def _integer_parameter(
    request: web.Request, name: str, minimum: int, maximum: int
) -> int | admin_changes.Refusal:
    text = request.query.get(name, str(minimum))
    if text.isdecimal() and minimum <= int(text) <= maximum:
        return int(text)
    return admin_changes.Refusal(
        400, "bad_query", f"{name} is {text!r}; give {minimum} to {maximum}"
    )
