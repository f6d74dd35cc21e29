"""fireflyspindle: a load balancer for servers whose load shifts quickly."""

import importlib
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from fireflyspindle.core import effects
    from fireflyspindle.core import events
    from fireflyspindle.core import records
    from fireflyspindle.core.reducer import reduce
    from fireflyspindle.core.reducer import start
    from fireflyspindle.core.state import CoreSettings
    from fireflyspindle.core.state import GateState
    from fireflyspindle.core.state import new as new_state
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


# Module and attribute of each public name; "" for the module itself.
_LAZY_NAMES = {
    "CoreSettings": ("core.state", "CoreSettings"),
    "Gate": ("gate", "Gate"),
    "GateState": ("core.state", "GateState"),
    "Settings": ("settings", "Settings"),
    "effects": ("core.effects", ""),
    "events": ("core.events", ""),
    "new_state": ("core.state", "new"),
    "records": ("core.records", ""),
    "reduce": ("core.reducer", "reduce"),
    "start": ("core.reducer", "start"),
}


def __getattr__(name: str) -> Any:
    """Imports names on first use.

    A process then loads what it needs only, and can prepare for signals before
    it loads anything.
    """
    if name not in _LAZY_NAMES:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    module_name, attribute = _LAZY_NAMES[name]
    module = importlib.import_module(f"fireflyspindle.{module_name}")
    return getattr(module, attribute) if attribute else module
