"""The control address: health, state, metrics, peers, administration."""

from typing import Protocol

from aiohttp import web

from fireflyspindle import metrics as metrics_lib
from fireflyspindle.adapters import admin_api
from fireflyspindle.adapters import claim_metrics
from fireflyspindle.adapters import peers
from fireflyspindle.adapters import route_api
from fireflyspindle.core import events
from fireflyspindle.core import membership
from fireflyspindle.core import readiness
from fireflyspindle.core import state as state_lib


class Gate(admin_api.Gate, Protocol):
    """The part of a gate that the control API uses."""

    metrics: metrics_lib.Metrics

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
        ]
    )
    app.add_subapp("/admin/", admin_api.application(gate))
    app.add_subapp(route_api.PATH, _route_application(gate))
    return app


def _route_application(gate: Gate) -> web.Application:
    """Returns the application that previews requests, for teams only."""
    teams = gate.settings.administration.teams
    app = web.Application(middlewares=[admin_api.authentication(teams)])
    app.add_routes([web.get("", route_api.RouteHandler(gate).handle)])
    return app


class _Handlers:
    def __init__(self, gate: Gate) -> None:
        self._gate = gate

    async def live(self, _request: web.Request) -> web.Response:
        return web.json_response({"live": True})

    async def ready(self, _request: web.Request) -> web.Response:
        reason = readiness.not_ready_reason(self._gate.state)
        return web.json_response(
            {"ready": reason is None, "reason": reason},
            status=200 if reason is None else 503,
        )

    async def state(self, _request: web.Request) -> web.Response:
        return web.json_response(summary(self._gate.state))

    async def metrics(self, _request: web.Request) -> web.Response:
        metrics = self._gate.metrics
        metrics.update_from_state(self._gate.state, self._gate.now_us())
        claim_metrics.set_gauges(metrics, self._gate.state)
        content, http_headers = metrics.render()
        return web.Response(body=content, headers=http_headers)


def summary(state: state_lib.GateState) -> dict:
    """Returns the state as JSON data, for operators."""
    return {
        "host_id": state.settings.host_id,
        "failure_domain": state.settings.failure_domain,
        "stopping": state.stopping,
        "calls": len(state.calls),
        "configuration": {
            "next_offset": state.configuration.next_offset,
            "complete": state.configuration.complete,
            "digest": f"{state.configuration.digest:016x}",
            "unreadable": state.configuration.read_errors,
        },
        "claims": claim_metrics.summary(state),
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
