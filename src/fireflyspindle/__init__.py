"""fireflyspindle: a load balancer for servers whose load shifts quickly."""

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
