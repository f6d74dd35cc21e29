"""Stand-ins for the platform and for targets, for users' own tests."""

from fireflyspindle.testing.hosts import StandInHosts
from fireflyspindle.testing.log import StandInLog
from fireflyspindle.testing.server import Server
from fireflyspindle.testing.target import StandInTarget

__all__ = ["Server", "StandInHosts", "StandInLog", "StandInTarget"]
