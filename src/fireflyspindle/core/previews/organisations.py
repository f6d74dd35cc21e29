"""The organisation that a previewed request is from."""

import attrs

from fireflyspindle.core import events
from fireflyspindle.core import refusals
from fireflyspindle.core import state as state_lib


def identify(
    state: state_lib.GateState, event: events.CallArrived, name: str
) -> events.CallArrived | refusals.Refusal:
    """Returns an arrival from an organisation, or why that is impossible.

    Args:
        state: State of the gate host.
        event: The arrival without an organisation.
        name: Name of the organisation; empty for none.
    """
    if not name:
        return event
    digest = _key_digest(state, name)
    if name not in state.configuration.tenants and not digest:
        return refusals.Refusal(
            404,
            "unknown_organisation",
            f"no organisation {name!r} is configured at this gate host",
        )
    return attrs.evolve(event, tenant=name, key_digest=digest)


def _key_digest(state: state_lib.GateState, name: str) -> str:
    """Returns the digest of a key of an organisation, or an empty string."""
    organisation = state.organisations.by_name.get(name)
    if organisation is None:
        return ""
    return min(organisation.key_digests, default="")
