"""Whether a request may be served: the organisation that its key names."""

from fireflyspindle.core import events
from fireflyspindle.core import published
from fireflyspindle.core import refusals
from fireflyspindle.core import state as state_lib


def authorise(
    state: state_lib.GateState,
    event: events.CallArrived,
    rule: published.Rule,
) -> str | refusals.Refusal:
    """Returns the name of the organisation of a call, or why it is refused.

    The name is empty where requests need no key.
    """
    return ""
