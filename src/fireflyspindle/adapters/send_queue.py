"""Measures how much of what was written has not reached the other side."""

import asyncio
import fcntl
import struct
import termios

_COUNT = struct.Struct("i")


def undelivered_bytes(transport: asyncio.Transport) -> int:
    """Returns the bytes that the other side's system has not acknowledged.

    Where the system does not tell, only the bytes that it has not taken yet are
    counted.
    """
    buffered_bytes = transport.get_write_buffer_size()
    sock = transport.get_extra_info("socket")
    try:
        answer = fcntl.ioctl(sock, termios.TIOCOUTQ, bytes(_COUNT.size))
    except (OSError, ValueError):
        # The socket is closed, or the system refuses the call.
        return buffered_bytes
    [queued_bytes] = _COUNT.unpack(answer)
    return buffered_bytes + int(queued_bytes)
