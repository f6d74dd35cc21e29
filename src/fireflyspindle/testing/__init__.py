"""Stand-ins for the platform and for targets, for users' own tests."""

from fireflyspindle.testing.addresses import free_address
from fireflyspindle.testing.hosts import StandInHosts
from fireflyspindle.testing.log import StandInLog
from fireflyspindle.testing.raw import RawCaller
from fireflyspindle.testing.raw import RawMessage
from fireflyspindle.testing.raw import ScriptedTarget
from fireflyspindle.testing.raw import connect
from fireflyspindle.testing.server import Server
from fireflyspindle.testing.store import StandInStore
from fireflyspindle.testing.system import StandInSystem
from fireflyspindle.testing.system import gate_settings
from fireflyspindle.testing.system import publish
from fireflyspindle.testing.target import StandInTarget

__all__ = [
    "RawCaller",
    "RawMessage",
    "ScriptedTarget",
    "Server",
    "StandInHosts",
    "StandInLog",
    "StandInStore",
    "StandInSystem",
    "StandInTarget",
    "connect",
    "free_address",
    "gate_settings",
    "publish",
]
