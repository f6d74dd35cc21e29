"""Preference of targets in a gate host's own failure domain.

Load pattern: some requests or answers have bodies of tens of kilobytes, and a
call takes a fraction of its latency objective to process. Bytes between failure
domains cost money and narrow links carry them slowly, so that a target in
another domain has to give the caller something: an answer within the latency
objective that no target of the own domain is expected to give. A target that is
slow at the moment is good enough for a call with time to spare, and leaves the
fast ones to calls that have none.

It applies to calls of routes with large bodies. For other calls a small penalty
is all that counts against another domain (see `forecast`): with the preference
they crowded the targets of the domain with the most load.
"""

from fireflyspindle.core import state as state_lib
from fireflyspindle.core import targets

# Safety factor on the expected answer time. The standard deviation of the
# processing time is 0.3 of its mean.
ANSWER_TIME_MARGIN = 1.4


def answers_in_time(
    state: state_lib.GateState, call: state_lib.Call, expected_us: float
) -> bool:
    """Whether an expected answer time meets the latency objective of a call."""
    if call.soft_deadline_us is None:
        return False
    left_us = call.soft_deadline_us - state.now_us
    return ANSWER_TIME_MARGIN * expected_us <= left_us


def sort_targets(
    state: state_lib.GateState,
    call: state_lib.Call,
    ranked: list[tuple[float, targets.Target]],
) -> None:
    """Moves the targets of the own domain that answer in time to the front.

    Args:
        state: State of the gate host.
        call: The call to be sent.
        ranked: Expected answer times and targets, fastest first.
    """
    if not call.has_large_bodies:
        return
    # A stable sort keeps the fastest first in both groups.
    ranked.sort(
        key=lambda pair: (
            bool(pair[1].domain_penalty)
            or not answers_in_time(state, call, pair[0])
        )
    )


def suits_slow_target(
    state: state_lib.GateState, call: state_lib.Call, expected_us: float
) -> bool:
    """Whether a target that is slow at the moment is good enough for a call."""
    return call.has_large_bodies and answers_in_time(state, call, expected_us)
