"""Health, state, metrics and administration, apart from the callers."""

from typing import Protocol

from aiohttp import web
import result

from fireflyspindle import metrics as metrics_lib
from fireflyspindle.adapters import log_client
from fireflyspindle.adapters import peers
from fireflyspindle.core import configuration
from fireflyspindle.core import events
from fireflyspindle.core import membership
from fireflyspindle.core import records
from fireflyspindle.core import state as state_lib


class Gate(Protocol):
    """What the control API needs of a gate."""

    state: state_lib.GateState
    metrics: metrics_lib.Metrics
    log: log_client.LogClient

    def now_us(self) -> int:
        """Returns the monotonic time."""

    def submit(self, event: events.Event) -> None:
        """Feeds an event to the reducer."""


def application(gate: Gate) -> web.Application:
    """Returns the application that serves the control address."""
    handlers = _Handlers(gate)
    app = web.Application(client_max_size=peers.MAX_BODY_BYTES)
    app.add_routes(peers.routes(gate))
    app.add_routes(
        [
            web.get("/health/live", handlers.live),
            web.get("/health/ready", handlers.ready),
            web.get("/state", handlers.state),
            web.get("/metrics", handlers.metrics),
            web.get("/admin/records", handlers.read_all),
            web.post("/admin/records", handlers.publish),
        ]
    )
    return app


class _Handlers:
    def __init__(self, gate: Gate) -> None:
        self._gate = gate

    async def live(self, _request: web.Request) -> web.Response:
        return web.json_response({"live": True})

    async def ready(self, _request: web.Request) -> web.Response:
        reason = not_ready_reason(self._gate.state)
        return web.json_response(
            {"ready": reason is None, "reason": reason},
            status=200 if reason is None else 503,
        )

    async def state(self, _request: web.Request) -> web.Response:
        return web.json_response(summary(self._gate.state))

    async def metrics(self, _request: web.Request) -> web.Response:
        content, http_headers = self._gate.metrics.render()
        return web.Response(body=content, headers=http_headers)

    async def read_all(self, _request: web.Request) -> web.Response:
        entries = self._gate.state.configuration.entries
        return web.json_response(
            {
                key: {
                    "revision": entry.revision,
                    "author": entry.record.author,
                    "payload": entry.record.payload,
                }
                for key, entry in sorted(entries.items())
            }
        )

    async def publish(self, request: web.Request) -> web.Response:
        body = await request.text()
        match records.decode(body).and_then(_readable):
            case result.Err(why):
                return web.json_response(
                    {"error": "bad_record", "detail": why}, status=400
                )
            case result.Ok(envelope):
                encoded = records.encode(envelope)
        appended = await self._gate.log.append(configuration.STREAM, encoded)
        match appended.outcome:
            case events.AppendOutcome.DONE:
                return web.json_response({"offset": appended.offset})
            case events.AppendOutcome.REFUSED:
                return web.json_response({"error": "log_refused"}, status=503)
            case events.AppendOutcome.UNKNOWN:
                return web.json_response({"error": "unknown"}, status=504)


def _readable(
    envelope: records.Envelope,
) -> result.Result[records.Envelope, str]:
    if envelope.payload is None:
        return result.Ok(envelope)
    return records.read_payload(envelope).map(lambda _: envelope)


def not_ready_reason(state: state_lib.GateState) -> str | None:
    """Returns why a gate host takes no calls, or None when it does."""
    if state.stopping:
        return "stopping"
    return configuration_gap(state)


def configuration_gap(state: state_lib.GateState) -> str | None:
    """Returns what this host lacks of the configuration, or None."""
    config = state.configuration
    if config.complete:
        return None
    if config.lost_before_offset is not None:
        return (
            f"records before offset {config.lost_before_offset} expired in"
            f" the log before this host read them (it is at"
            f" {config.next_offset}); it waits for a snapshot or a peer"
        )
    if config.known_offset is None:
        hosts = len(state.membership.members)
        return (
            "neither the log nor a peer has told the configuration yet;"
            f" {hosts} peers were heard"
        )
    return (
        f"the configuration is read up to offset {config.next_offset} of"
        f" {config.known_offset}"
    )


def summary(state: state_lib.GateState) -> dict:
    """Returns the state as JSON data, for people on call."""
    return {
        "host_id": state.settings.host_id,
        "failure_domain": state.settings.failure_domain,
        "stopping": state.stopping,
        "calls": len(state.calls),
        "configuration": {
            "next_offset": state.configuration.next_offset,
            "complete": state.configuration.complete,
            "digest": f"{state.configuration.digest:016x}",
            "unreadable": state.configuration.unreadable,
        },
        "membership": membership.summary(state),
        "services": {
            service.name: {
                target.spec.address: {
                    "in_flight": target.in_flight,
                    "leaving": target.leaving,
                }
                for target in service.targets.values()
            }
            for service in state.services.values()
        },
    }
