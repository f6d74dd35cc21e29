"""GET /route at the control address: where a request would be sent now."""

from typing import Protocol
import urllib.parse

from aiohttp import web
import attrs

from fireflyspindle.adapters import admin_changes
from fireflyspindle.adapters import requests
from fireflyspindle.core import events
from fireflyspindle.core import refusals
from fireflyspindle.core import state as state_lib
from fireflyspindle.core.previews import organisations
from fireflyspindle.core.previews import preview as preview_lib

PATH = "/route"
# Minimum time between two previews. Each copies the state of the host twice and
# delays its other work: by 0.2 s with 1,000 targets in 45 services.
MIN_INTERVAL_US = 2_000_000


class Gate(Protocol):
    """The part of a gate host that previews use."""

    state: state_lib.GateState

    def now_us(self) -> int:
        """Returns the monotonic time."""


class RouteHandler:
    """Answers questions about single requests."""

    def __init__(self, gate: Gate) -> None:
        self._gate = gate
        self._next_us = 0

    async def handle(self, request: web.Request) -> web.Response:
        """Returns the decision on the request that the query describes."""
        now_us = self._gate.now_us()
        if now_us < self._next_us:
            return admin_changes.Refusal(
                429, "too_often", "this host has just answered; ask again"
            ).response()
        event = _event(request, now_us)
        if isinstance(event, admin_changes.Refusal):
            return event.response()
        self._next_us = now_us + MIN_INTERVAL_US
        state = self._gate.state
        named = organisations.identify(
            state, event, request.query.get("organisation", "")
        )
        if isinstance(named, refusals.Refusal):
            found = preview_lib.Preview(
                "refused",
                named.detail,
                status=named.status,
                error=named.error,
            )
        else:
            found = preview_lib.preview(state, named)
        return web.json_response(
            {
                "host": state.settings.host_id,
                "configuration": state.rule_table.version,
                **attrs.asdict(found),
            }
        )


def _event(
    request: web.Request, now_us: int
) -> events.CallArrived | admin_changes.Refusal:
    method = request.query.get("method", "")
    url = request.query.get("url", "")
    try:
        parts = urllib.parse.urlsplit(url)
        host = parts.hostname
    except ValueError:
        parts, host = urllib.parse.urlsplit(""), None
    if (
        not method.isalpha()
        or not host
        or parts.scheme not in ("http", "https")
    ):
        return admin_changes.Refusal(
            400,
            "bad_query",
            f"method is {method!r} and url {url!r}; give a method such as GET"
            " and a URL such as http://HOST/PATH",
        )
    return events.CallArrived(
        now_us=now_us,
        call_id=0,
        path=parts.path or "/",
        host=host,
        repeatable=method.upper() in requests.REPEATABLE_METHODS,
    )
