"""Hedges: a second attempt of a slow repeatable call, within a budget."""

from fireflyspindle.core import state as state_lib


def schedule(state: state_lib.GateState, call: state_lib.Call) -> None:
    """Sets the time at which a call that is not answered is hedged."""


def on_due(state: state_lib.GateState, call_id: int) -> None:
    """Hedges a call that is still waiting, if the budget allows it."""
