"""Failure domains that operators have evacuated."""

from fireflyspindle.core import events
from fireflyspindle.core import state as state_lib
from fireflyspindle.core import targets


def on_configuration_read(
    state: state_lib.GateState, event: events.ConfigurationRead
) -> None:
    """Starts and ends evacuations."""


def may_receive(state: state_lib.GateState, target: targets.Target) -> bool:
    """Whether a target is in no evacuated failure domain."""
    return True
