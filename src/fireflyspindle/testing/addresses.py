"""Loopback addresses for processes that a test starts."""

import itertools
import os

_numbers = itertools.count(1)


def free_address() -> str:
    """Returns a loopback address that only this process gives out.

    The system gives out ports of 127.0.0.1 to others at any time; a host
    number of one's own rules that out.
    """
    number = next(_numbers)
    high, low = divmod(os.getpid() % 65_536, 256)
    return f"127.{1 + number // 1_000}.{high}.{low}:{20_000 + number % 1_000}"
