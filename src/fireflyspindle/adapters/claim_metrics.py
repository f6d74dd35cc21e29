"""Claims in the metrics and on the state endpoint."""

import attrs

from fireflyspindle import metrics as metrics_lib
from fireflyspindle.core import state as state_lib


def set_gauges(
    metrics: metrics_lib.Metrics, state: state_lib.GateState
) -> None:
    """Sets the gauges of claims."""
    for name, value in _gauges(state).items():
        metrics.gauges[f"claim_{name}"] = value


def summary(state: state_lib.GateState) -> dict:
    """Returns the state of claims as JSON data."""
    claims = state.claims
    return {
        "writer": claims.writer,
        "in_doubt": claims.sent is not None
        and claims.sent.in_doubt_from_us is not None,
        "certain_from_ms": claims.index.certain_from_ms,
        **_gauges(state),
        **attrs.asdict(claims.counters),
    }


def _gauges(state: state_lib.GateState) -> dict[str, int]:
    claims = state.claims
    return {
        "keys_held": claims.index.held,
        "not_read_back": len(claims.pending),
        "waiting_calls": sum(map(len, claims.waiters.values())),
    }
