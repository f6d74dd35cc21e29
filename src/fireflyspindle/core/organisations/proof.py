"""The proof that this host's configuration is the newest one.

A proof is a time on this host's own clock at which the store held no
configuration newer than the one in force here. A request with a withdrawn key
can only be accepted while the proof is older than the withdrawal, so a limit on
the age of the proof bounds the time for which the key works. It holds for
hosts that are cut off or suspended too, because nothing but a proof renews it.

A read of the store proves the time at which it was sent: it may wait at the
store and miss a record meanwhile. A reader's answer proves the time at which
this host sent its question, minus the age of the reader's own proof. A proof
stays valid when a newer configuration comes into force.
"""

from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import state as state_lib
from fireflyspindle.core import store_state
from fireflyspindle.core import timers

# Margin for the rates of two clocks, each of which may be off by 500 ppm, the
# most by which NTP slews a clock: that of the host at which the bound is
# measured and that of the host whose proof ages.
CLOCK_RATE_MARGIN = 0.001
# Margin for times that are stated in whole milliseconds.
RESOLUTION_MARGIN_US = 1_000
# Time between two questions, as a share of the limit: 1 s of 5 s.
ASK_INTERVAL_SHARE = 0.2
# The same for a reader, whose proof passes its age on to its followers. There
# are at most two such readers, so that the messages don't matter.
READER_ASK_INTERVAL_SHARE = 0.05
# Pause before another reader is asked after a failure. When all have been
# asked, the usual interval passes.
RETRY_SHARE = 0.04
# Time for an answer. A reader on the same network answers within milliseconds;
# another one is asked well before the proof is too old. An answer that comes
# later proves the same time as one that comes at once.
ANSWER_TIMEOUT_US = 400_000
# Random share of each interval, which spreads the questions of the fleet.
INTERVAL_JITTER = 0.1
# Age of the proof, as a share of the limit, from which this host reads the
# store itself, without waiting there. It is above the greatest age while
# readers answer (docs/design/organisations.md); the rest of the limit is time
# for a read at a store that takes 0.4 s.
OWN_READ_AGE_SHARE = 0.76
# The same while the reader is of a build that gives no proofs: one read that
# times out after 1.2 s must not cost the proof.
UNSUPPORTED_OWN_READ_AGE_SHARE = 0.5


def limit_us(state: state_lib.GateState) -> int | None:
    """Returns the greatest age of a proof, or None if none is required."""
    settings = state.settings.store
    if settings is None or settings.revocation_limit_ms is None:
        return None
    bound_us = settings.revocation_limit_ms * 1000
    margin_us = int(bound_us * CLOCK_RATE_MARGIN) + RESOLUTION_MARGIN_US
    return max(0, bound_us - margin_us)


def age_us(state: state_lib.GateState, now_us: int) -> int | None:
    """Returns the age of the proof at a time; None without a proof."""
    proven_us = state.organisations.proof.proven_us
    return None if proven_us is None else now_us - proven_us


def is_current(state: state_lib.GateState) -> bool:
    """Whether requests with keys may be served now.

    Load pattern: none; this holds under any load.
    """
    end_us = valid_until_us(state)
    return end_us is None or state.now_us <= end_us


def valid_until_us(state: state_lib.GateState) -> int | None:
    """Returns the last time at which the proof counts; None for no limit."""
    limit = limit_us(state)
    if limit is None:
        return None
    proven_us = state.organisations.proof.proven_us
    return -1 if proven_us is None else proven_us + limit


def is_needed(state: state_lib.GateState) -> bool:
    """Whether this host needs proofs."""
    return state.organisations.enforced and limit_us(state) is not None


def on_configuration_read(
    state: state_lib.GateState, event: events.ConfigurationRead
) -> None:
    """Takes the proof of a read by this host; starts to ask if needed.

    Unless the read is late, it must be called while the read is the latest
    scheduled one. A relayed read proves nothing: its line may have waited in a
    broken link, in a suspended reader or in this host.
    """
    reads = state.store_reads[store_state.Source.CONFIGURATION]
    if event.relayed is None and event.is_complete:
        if not reads.has_undecodable_record:
            _prove(state, reads.own_read_start_us(event))
    proof = state.organisations.proof
    if not is_needed(state):
        proof.needed_since_us = None
        return
    if proof.needed_since_us is None:
        proof.needed_since_us = state.now_us
        _ask(state)
        _schedule(state, _interval_us(state))


def on_due(state: state_lib.GateState) -> None:
    """Asks a reader for its proof, and logs a loss of the own one."""
    proof = state.organisations.proof
    if proof.next_due_us is None or state.now_us < proof.next_due_us:
        # Stale timer: an earlier check was scheduled after it and has run.
        return
    proof.next_due_us = None
    if not is_needed(state):
        return
    _report(state)
    _ask(state)
    _schedule(state, _interval_us(state))


def on_answered(
    state: state_lib.GateState, event: events.ConfigurationProofAnswered
) -> None:
    """Takes the proof of a reader, or asks another one."""
    if event.late:
        _take_late_answer(state, event)
        return
    proof = state.organisations.proof
    proof.asking = False
    proof.unsupported = event.unsupported
    _take_answer(state, event)
    if is_needed(state):
        _schedule(state, _interval_us(state))


def _take_late_answer(
    state: state_lib.GateState, event: events.ConfigurationProofAnswered
) -> None:
    """Takes the proof only: another reader may have been asked meanwhile."""
    if event.age_us is None or event.version != state.rule_table.version:
        return
    _prove(state, event.sent_us - event.age_us)
    if is_needed(state):
        _schedule(state, _interval_us(state))


def _take_answer(
    state: state_lib.GateState, event: events.ConfigurationProofAnswered
) -> None:
    proof = state.organisations.proof
    version = state.rule_table.version
    if event.age_us is None:
        _on_failed(state)
        return
    if event.version != version:
        # Either of the two has not received the newest version yet.
        behind = (event.version or 0) < (version or 0)
        again = proof.differed
        proof.differed = True
        if again and behind:
            _on_failed(state)
        elif not again:
            _schedule(state, _retry_us(state))
        return
    proof.differed = False
    proven_us = event.sent_us - event.age_us
    _prove(state, proven_us)
    due_us = _own_read_due_us(state)
    if due_us is not None and state.now_us >= due_us:
        # The reader's proof ages too; another reader may have a newer one.
        _on_failed(state)


def needs_own_read(
    state: state_lib.GateState, source: store_state.Source
) -> bool:
    """Whether this host reads the store because readers give no proof."""
    if source is not store_state.Source.CONFIGURATION or not is_needed(state):
        return False
    if state.store_reads[source].has_undecodable_record:
        # No read proves anything until the operator publishes another version.
        return False
    due_us = _own_read_due_us(state)
    return due_us is not None and state.now_us >= due_us


def _own_read_due_us(state: state_lib.GateState) -> int | None:
    proof = state.organisations.proof
    limit = limit_us(state)
    since_us = proof.proven_us
    if since_us is None:
        since_us = proof.needed_since_us
    if since_us is None or limit is None:
        return None
    share = OWN_READ_AGE_SHARE
    if proof.unsupported:
        share = UNSUPPORTED_OWN_READ_AGE_SHARE
    return since_us + int(limit * share)


def _prove(state: state_lib.GateState, proven_us: int) -> None:
    proof = state.organisations.proof
    proof.proven_us = max(proven_us, proof.proven_us or proven_us)
    _report(state)


def _report(state: state_lib.GateState) -> None:
    """Logs the loss of the proof, and that it is regained, once each."""
    proof = state.organisations.proof
    limit = limit_us(state)
    if limit is None or not is_needed(state):
        return
    current = is_current(state)
    since_us = proof.proven_us
    if since_us is None:
        since_us = proof.needed_since_us
    if current and proof.lost:
        proof.lost = False
        age_ms = (state.now_us - (since_us or 0)) // 1000
        detail = f"requests with API keys are served again; proof {age_ms} ms"
        state.emit(effects.WriteLogLine("info", "key_proof_regained", detail))
    elif not current and not proof.lost and since_us is not None:
        if state.now_us - since_us <= limit:
            # This host has just started and has asked for its first proof.
            return
        proof.lost = True
        detail = (
            f"no proof for {(state.now_us - since_us) // 1000} ms that the"
            f" configuration is the newest; requests with API keys get 503"
            f" after {limit // 1000} ms without one"
        )
        state.emit(effects.WriteLogLine("warning", "key_proof_lost", detail))


def _on_failed(state: state_lib.GateState) -> None:
    """Asks another reader soon; after all of them, with the usual interval."""
    proof = state.organisations.proof
    proof.failed_asks += 1
    if proof.failed_asks % max(1, len(_readers(state))):
        _schedule(state, _retry_us(state))


def _readers(state: state_lib.GateState) -> list[str]:
    """Returns the readers to ask, in order of preference."""
    follow = state.following
    if follow.address is None:
        return sorted(follow.readers)
    others = sorted(follow.readers.keys() - {follow.address})
    return [follow.address, *others]


def _ask(state: state_lib.GateState) -> None:
    """Asks a reader for its proof, unless this host reads the store itself."""
    proof = state.organisations.proof
    follow = state.following
    readers = _readers(state)
    reads_itself = follow.is_reader and follow.address is None
    if proof.asking or not readers:
        return
    if reads_itself and not needs_own_read(
        state, store_state.Source.CONFIGURATION
    ):
        return
    if proof.followed != follow.address:
        proof.followed = follow.address
        proof.failed_asks = 0
    proof.asking = True
    reader = readers[proof.failed_asks % len(readers)]
    state.emit(
        effects.AskConfigurationProof(
            reader, ANSWER_TIMEOUT_US, limit_us(state) or 0
        )
    )


def _interval_us(state: state_lib.GateState) -> int:
    share = ASK_INTERVAL_SHARE
    if state.following.is_reader:
        share = READER_ASK_INTERVAL_SHARE
    jitter = 1 + INTERVAL_JITTER * (state.random.random() - 0.5)
    return int((limit_us(state) or 0) * share * jitter)


def _retry_us(state: state_lib.GateState) -> int:
    return int((limit_us(state) or 0) * RETRY_SHARE)


def _schedule(state: state_lib.GateState, delay_us: int) -> None:
    """Schedules a check, not later than the next change of the proof.

    While a reader is asked, its answer schedules the check of such a change.
    """
    proof = state.organisations.proof
    at_us = state.now_us + max(1, delay_us)
    changes_us: list[int | None] = []
    if not proof.asking:
        changes_us = [_own_read_due_us(state), (valid_until_us(state) or 0) + 1]
    for change_us in changes_us:
        if change_us is not None and state.now_us < change_us < at_us:
            at_us = change_us
    if proof.next_due_us is None or at_us < proof.next_due_us:
        proof.next_due_us = at_us
        state.timers.add(at_us, timers.ConfigurationProofDue())
