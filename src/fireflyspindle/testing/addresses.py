"""Loopback addresses for processes that a test starts."""

import itertools
import os

_address_numbers = itertools.count(1)


def free_address() -> str:
    """Returns a loopback address that only this process uses.

    The kernel may assign a free port of 127.0.0.1 to another process at any
    time, so the IP address is derived from the process id instead.
    """
    number = next(_address_numbers)
    high, low = divmod(os.getpid() % 65_536, 256)
    return f"127.{1 + number // 1_000}.{high}.{low}:{20_000 + number % 1_000}"
