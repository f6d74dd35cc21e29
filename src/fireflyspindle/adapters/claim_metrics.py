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
        "in_doubt": claims.in_flight_batch is not None
        and claims.in_flight_batch.in_doubt_from_us is not None,
        "certain_from_ms": claims.index.complete_after_ms,
        **_gauges(state),
        **attrs.asdict(claims.counters),
    }


def _gauges(state: state_lib.GateState) -> dict[str, int]:
    claims = state.claims
    return {
        "keys_held": claims.index.key_count,
        "not_read_back": len(claims.pending),
        "waiting_calls": sum(map(len, claims.waiters.values())),
    }
