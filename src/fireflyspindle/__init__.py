"""fireflyspindle: a load balancer for servers whose load shifts quickly."""

import importlib
from typing import TYPE_CHECKING, Any

from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import records
from fireflyspindle.core.reducer import reduce
from fireflyspindle.core.reducer import start
from fireflyspindle.core.state import CoreSettings
from fireflyspindle.core.state import GateState
from fireflyspindle.core.state import new as new_state

if TYPE_CHECKING:
    from fireflyspindle.gate import Gate
    from fireflyspindle.settings import Settings

__version__ = "0.1.0"

__all__ = [
    "CoreSettings",
    "Gate",
    "GateState",
    "Settings",
    "__version__",
    "effects",
    "events",
    "new_state",
    "records",
    "reduce",
    "start",
]


# Modules of the public names that are imported on first use.
_LAZY_MODULES = {"Gate": "gate", "Settings": "settings"}


def __getattr__(name: str) -> Any:
    """Imports names on first use, to save memory in processes without them."""
    if name in _LAZY_MODULES:
        module = importlib.import_module(
            f"fireflyspindle.{_LAZY_MODULES[name]}"
        )
        return getattr(module, name)
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
