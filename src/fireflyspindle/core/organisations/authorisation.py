"""Whether a request may be served: the organisation that its key names."""

from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import published
from fireflyspindle.core import refusals
from fireflyspindle.core import state as state_lib
from fireflyspindle.core import store_reads
from fireflyspindle.core import store_state
from fireflyspindle.core.organisations import proof

# Status of a relayed call whose key this host judges otherwise than the host
# that relays it; that host does not pass the status on.
KEY_DIFFERS_STATUS = 421


def authorise(
    state: state_lib.GateState,
    event: events.CallArrived,
    rule: published.Rule,
) -> str | refusals.Refusal:
    """Returns the name of the organisation of a call, or why it is refused.

    The name is empty where requests need no key. The details never hold a key.
    """
    keys = state.organisations
    if rule.public:
        return ""
    if not keys.enforced:
        if event.relay_keyed:
            return _differs("requests need no API key in the version here")
        return ""
    organisation = keys.by_digest.get(event.key_digest)
    if organisation is None:
        return _unknown_key(state, event)
    if not proof.is_current(state):
        return _proof_outdated(state)
    return organisation.name


def _unknown_key(
    state: state_lib.GateState, event: events.CallArrived
) -> refusals.Refusal:
    """Refuses a call without a known key.

    A caller does not come back after a 401, so it is only told so if a newer
    configuration with its key, or one that needs none, can't exist.
    """
    version = state.rule_table.version
    if event.relayed:
        return _differs(f"version {version} here has no such API key")
    up_to_date = store_reads.is_up_to_date(
        state, store_state.Source.CONFIGURATION
    )
    if not event.key_digest and up_to_date:
        return refusals.Refusal(
            401, "unknown_key", "give one header Authorization: Bearer KEY"
        )
    if not up_to_date or not proof.is_current(state):
        return refusals.Refusal(
            503,
            "configuration_outdated",
            f"version {version} does not have the API key, and this gate host"
            " may not know the newest version",
        )
    return refusals.Refusal(
        401, "unknown_key", f"version {version} does not have the API key"
    )


def _differs(detail: str) -> refusals.Refusal:
    return refusals.Refusal(KEY_DIFFERS_STATUS, "key_differs", detail)


def _proof_outdated(state: state_lib.GateState) -> refusals.Refusal:
    age_us = proof.age_us(state, state.now_us)
    known = "never known"
    if age_us is not None:
        known = f"last known {age_us // 1000} ms ago"
    return refusals.Refusal(
        503,
        "key_proof_outdated",
        f"that version {state.rule_table.version} is the newest was {known}",
    )


def priority(
    state: state_lib.GateState, organisation: str, rule: published.Rule
) -> int:
    """Returns the priority of a call: its organisation's or its route's."""
    found = state.organisations.by_name.get(organisation)
    if found is None or found.priority is None:
        return rule.priority
    return found.priority


def check_again(
    state: state_lib.GateState, call: state_lib.Call
) -> refusals.Refusal | None:
    """Returns why an accepted call may no longer be sent, or None.

    The configuration in force may have changed since the call arrived, and the
    proof may have become too old while the call waited or the host was
    suspended.
    """
    keys = state.organisations
    if not call.organisation:
        if call.public or not call.route or not keys.enforced:
            return None
        return refusals.Refusal(
            503, "key_withdrawn", "requests need API keys since this one came"
        )
    found = keys.by_digest.get(call.key_digest)
    if found is None or found.name != call.organisation:
        detail = (
            f"version {state.rule_table.version}, which came into force while"
            f" the call waited, does not have its API key"
        )
        return refusals.Refusal(503, "key_withdrawn", detail)
    if not proof.is_current(state):
        return _proof_outdated(state)
    return None


def may_resend(state: state_lib.GateState, call: state_lib.Call) -> bool:
    """Whether the key of a call allows another attempt."""
    refusal = check_again(state, call)
    if refusal is None:
        return True
    call.record_step(
        state.now_us, "not_resent", error=refusal.error, why=refusal.detail
    )
    return False


def handling(
    state: state_lib.GateState, call: state_lib.Call
) -> effects.KeyHandling | None:
    """Returns how the headers of a call's key are treated on a send.

    On a public route nothing is added. The header is still removed where there
    are organisations: it may hold a key in another form, or one that this host
    doesn't know yet.
    """
    keys = state.organisations
    if call.organisation:
        return effects.KeyHandling(
            call.organisation, call.key_digest, proof.valid_until_us(state)
        )
    if keys.enforced:
        return effects.KeyHandling()
    return None
