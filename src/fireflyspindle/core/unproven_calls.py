"""Calls routed by a configuration that may not be the newest.

A host goes on serving known routes while it can't tell whether there are newer
versions, so that an outage of the store does not end all service. Such calls
are counted, and the log states when a host starts and ends to serve them.
"""

from fireflyspindle.core import effects
from fireflyspindle.core import state as state_lib
from fireflyspindle.core import store_reads
from fireflyspindle.core import store_state

_SOURCE = store_state.Source.CONFIGURATION


def on_routed(state: state_lib.GateState) -> bool:
    """Counts a call that a published rule routes.

    Returns:
        Whether the configuration may not be the newest.
    """
    if _is_proven(state):
        return False
    unproven = state.unproven_calls
    if unproven.since_us is None:
        unproven.since_us = state.now_us
        unproven.calls = 0
        detail = (
            f"calls are routed by version {state.rule_table.version}, which may"
            f" not be the newest: {_reason(state)}"
        )
        state.emit(
            effects.WriteLogLine("warning", "configuration_unproven", detail)
        )
    unproven.calls += 1
    return True


def on_configuration_read(state: state_lib.GateState) -> None:
    """Logs that calls are routed by the newest version again."""
    unproven = state.unproven_calls
    if unproven.since_us is None:
        return
    if not _is_proven(state):
        return
    complete_us = store_reads.complete_until_us(state, _SOURCE)
    detail = (
        f"calls are routed by version {state.rule_table.version}, which was the"
        f" newest {(state.now_us - complete_us) // 1000} ms ago;"
        f" {unproven.calls} calls were routed without that knowledge in"
        f" {(state.now_us - unproven.since_us) // 1000} ms"
    )
    unproven.since_us = None
    state.emit(effects.WriteLogLine("info", "configuration_proven", detail))


def age_us(state: state_lib.GateState) -> int | None:
    """Returns the time since every version was known; None if it never was."""
    complete_us = state.store_reads[_SOURCE].complete_until_us
    return None if complete_us is None else state.now_us - complete_us


def age_limit_us(state: state_lib.GateState) -> int:
    """Returns the age above which a newer version may be in force elsewhere."""
    settings = state.settings.store
    assert settings is not None
    return settings.apply_limit_ms * 1000


def _is_proven(state: state_lib.GateState) -> bool:
    """Whether every version that is older than the limit for changes is known.

    A host that lacks records which its reader omitted has until that limit to
    read them, as after any change.
    """
    if state.store_reads[_SOURCE].has_undecodable_record:
        return False
    age = age_us(state)
    return age is not None and age <= age_limit_us(state)


def _reason(state: state_lib.GateState) -> str:
    """Returns why the configuration may not be the newest."""
    reads = state.store_reads[_SOURCE]
    reasons = []
    if reads.has_relay_gap:
        reasons.append("the reader omitted records")
    if reads.has_unread_records:
        reasons.append("the store has records that were not read")
    if reads.has_undecodable_record:
        reasons.append("the newest record can't be decoded")
    known = "no read was complete"
    if reads.complete_until_us is not None:
        age_ms = (state.now_us - reads.complete_until_us) // 1000
        known = f"newer versions are known up to {age_ms} ms ago"
    reasons.append(known)
    return ", ".join(reasons)
