"""A web application served on a loopback port."""

from aiohttp import web


class Server:
    """Serves an application until it is closed."""

    def __init__(self, app: web.Application) -> None:
        self._runner = web.AppRunner(
            app, access_log=None, handler_cancellation=True
        )

    async def start(self, address: str = "127.0.0.1:0") -> str:
        """Listens on an address and returns it with the bound port."""
        host, _, port = address.rpartition(":")
        await self._runner.setup()
        await web.TCPSite(self._runner, host, int(port)).start()
        host, port = self._runner.addresses[0][:2]
        return f"{host}:{port}"

    async def close(self) -> None:
        """Closes the port and every connection."""
        await self._runner.cleanup()
