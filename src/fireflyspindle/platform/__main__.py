"""Runs a gate host on the platform: `python -m fireflyspindle.platform`.

Does the same as `fireflyspindle platform`, without importing the modules of
the command line, which would stay in memory.

The gate host doesn't use TLS. Without the modules for it a process takes a
sixth less processor time to start, during which its callers wait after a loss
of power, and several megabytes less memory. `asyncio` and `aiohttp` do without
them; `logbook` imports `ssl` for handlers that send mail, so that it gets an
empty module.
"""

import sys
import types
from typing import cast

_TLS_MODULES = ("ssl", "_ssl", "_hashlib")
# `None` makes an import fail (see "The module cache" in Python's reference).
sys.modules.update(
    cast("dict[str, types.ModuleType]", dict.fromkeys(_TLS_MODULES))
)

import aiohttp.web  # noqa: E402, F401

sys.modules["ssl"] = types.ModuleType("ssl")

from fireflyspindle.platform import daemon  # noqa: E402

sys.exit(daemon.main())
