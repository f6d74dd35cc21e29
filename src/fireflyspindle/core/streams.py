"""Reads from and appends to the log's streams, and their read positions."""

from fireflyspindle.core import effects
from fireflyspindle.core import state as state_lib

READ_RETRY_DELAY_US = 200_000
MAX_READ_RETRY_DELAY_US = 2_000_000
# Time after which the outcome of an append is unknown, and after which it is
# given up.
APPEND_TIMEOUT_US = 2_000_000
APPEND_LIMIT_US = 60_000_000


def position(state: state_lib.GateState, stream: str) -> state_lib.LogPosition:
    """Returns the read position of a stream."""
    return state.log_positions.setdefault(stream, state_lib.LogPosition())


def read_next(
    state: state_lib.GateState,
    stream: str,
    *,
    wait: bool = True,
    delay_us: int = 0,
) -> None:
    """Requests the next records of a stream, from its read position."""
    from_offset = position(state, stream).next_offset
    state.emit(effects.ReadLog(stream, from_offset, delay_us, wait))


def append(
    state: state_lib.GateState,
    stream: str,
    body: str,
    timeout_us: int = APPEND_TIMEOUT_US,
    limit_us: int = APPEND_LIMIT_US,
) -> int:
    """Appends a record; returns the `append_id` of its `AppendEnded` event."""
    state.last_append_id += 1
    append_id = state.last_append_id
    state.pending_appends[append_id] = stream
    state.emit(
        effects.AppendRecord(append_id, stream, body, timeout_us, limit_us)
    )
    return append_id


def retry_delay_us(state: state_lib.GateState, stream: str) -> int:
    """Returns the exponential backoff after failed reads, with jitter."""
    failures = position(state, stream).consecutive_failures
    doubled_us = READ_RETRY_DELAY_US * 2 ** min(failures - 1, 8)
    longest_us = min(doubled_us, MAX_READ_RETRY_DELAY_US)
    return int(longest_us * (0.5 + state.random.random() / 2))
