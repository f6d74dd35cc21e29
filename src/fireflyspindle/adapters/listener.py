"""A listening address whose connections are accepted a few at a time."""

import asyncio
from collections.abc import Callable
import socket

from fireflyspindle.core import caller_budget

# Most connections that are accepted before others are closed for them.
ACCEPTED_AT_ONCE = 32
# Time in which the request of a connection that was accepted last is read.
LAST_READ_S = 0.05

_Factory = Callable[[], asyncio.BaseProtocol]


class Listener:
    """Accepts the connections of one address.

    Attributes:
        address: The bound address, "ip:port", with its actual port.
    """

    def __init__(
        self,
        server: asyncio.Server,
        listening_socket: socket.socket,
        factory: _Factory,
    ) -> None:
        host, port = listening_socket.getsockname()[:2]
        self.address = f"{host}:{port}"
        self._server = server
        self._socket = listening_socket
        self._factory = factory
        self._last_accepts: set[asyncio.Task[None]] = set()

    @classmethod
    async def open(
        cls,
        address: str,
        factory: _Factory,
        receive_buffer_bytes: int,
        accepting: bool = True,
    ) -> "Listener":
        """Opens an address.

        Args:
            address: "ip:port".
            factory: Returns the protocol of an accepted connection.
            receive_buffer_bytes: Memory for the unread bytes of a connection.
            accepting: Whether to accept connections at once. Otherwise
                established connections wait until `accept` is called.

        Raises:
            OSError: The address can't be opened.
        """
        host, _, port = address.rpartition(":")
        listening_socket = socket.create_server(
            (host.strip("[]"), int(port)),
            family=socket.AF_INET6 if ":" in host else socket.AF_INET,
            backlog=caller_budget.WAITING_CONNECTIONS,
        )
        listening_socket.setblocking(False)
        # Accepted sockets inherit it. Their unread bytes are memory, too.
        listening_socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes
        )
        server = await asyncio.get_running_loop().create_server(
            factory,
            sock=listening_socket,
            backlog=ACCEPTED_AT_ONCE,
            start_serving=accepting,
        )
        listener = cls(server, listening_socket, factory)
        listener._set_backlog()
        return listener

    def _set_backlog(self) -> None:
        """Lets more connections wait than are accepted at once.

        Servers of asyncio have one number for both.
        """
        self._socket.listen(caller_budget.WAITING_CONNECTIONS)

    @property
    def receiving(self) -> bool:
        """Whether the requests of the last connections are being read."""
        return bool(self._last_accepts)

    async def accept(self) -> None:
        """Accepts waiting and further connections."""
        await self._server.start_serving()
        self._set_backlog()

    def close(self) -> None:
        """Stops listening; connections that wait are accepted before."""
        if not self._server.sockets:
            return
        self._accept_waiting()
        self._server.close()

    def _accept_waiting(self) -> None:
        """Accepts the connections that would be reset with the address."""
        while True:
            try:
                accepted, _ = self._socket.accept()
            except OSError:
                break
            accepted.setblocking(False)
            task = asyncio.get_running_loop().create_task(
                self._read_last(accepted)
            )
            self._last_accepts.add(task)
            task.add_done_callback(self._last_accepts.discard)

    async def _read_last(self, accepted: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        try:
            await loop.connect_accepted_socket(self._factory, accepted)
        except OSError:
            accepted.close()
            return
        await asyncio.sleep(LAST_READ_S)
