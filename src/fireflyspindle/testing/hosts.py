"""A stand-in for the platform's list of live and leaving hosts."""

import asyncio
import hashlib

from aiohttp import web


class StandInHosts:
    """Serves a host list whose changes become visible after a delay.

    Attributes:
        lag_s: Seconds until a change becomes visible.
    """

    def __init__(self, lag_s: float = 0.0) -> None:
        self.lag_s = lag_s
        self._visible: dict[str, dict[str, dict]] = {"gates": {}, "targets": {}}

    def application(self) -> web.Application:
        """Returns the application that serves the list."""
        app = web.Application()
        app.add_routes([web.get("/hosts", self._on_read)])
        return app

    def put(
        self, group: str, host_id: str, address: str, leaving: bool = False
    ) -> None:
        """Adds or changes a host of the group "gates" or "targets"."""
        entry = {"host_id": host_id, "address": address, "leaving": leaving}
        self._apply_after_lag(
            lambda: self._visible[group].update({host_id: entry})
        )

    def remove(self, group: str, host_id: str) -> None:
        """Removes a host."""
        self._apply_after_lag(lambda: self._visible[group].pop(host_id, None))

    def _apply_after_lag(self, change: object) -> None:
        if self.lag_s <= 0:
            change()  # type: ignore[operator]
            return
        loop = asyncio.get_running_loop()
        loop.call_later(self.lag_s, change)  # type: ignore[arg-type]

    async def _on_read(self, request: web.Request) -> web.StreamResponse:
        content = {
            group: list(entries.values())
            for group, entries in self._visible.items()
        }
        response = web.json_response(content)
        body = response.body
        assert isinstance(body, bytes)
        entity_tag = hashlib.sha256(body).hexdigest()
        if request.headers.get("If-None-Match", "").strip('"') == entity_tag:
            return web.Response(status=304)
        response.etag = entity_tag
        return response
