"""Counting of the gate hosts by the readers.

Every other host follows one reader. Each reader asks the other readers how many
hosts follow them, and reports the sum to its own followers. A smaller count is
used only after a while, because hosts that are cut off from the readers still
take their shares of the budgets.
"""

from fireflyspindle.core import discovery
from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import fleet
from fireflyspindle.core import state as state_lib
from fireflyspindle.core import store_state
from fireflyspindle.core import timers

COUNT_INTERVAL_US = 2_000_000
# Time after its start after which a reader counts. Hosts that start together
# with it have connected by then.
FIRST_COUNT_US = 3_000_000
# Time for which the last count of a reader that can't be reached is used.
READER_COUNT_RETENTION_US = 60_000_000


def start(state: state_lib.GateState) -> None:
    """Starts to count, if this host is a reader."""
    state.host_counts.started_us = state.now_us
    schedule(state)


def schedule(state: state_lib.GateState) -> None:
    """Schedules the next count of a reader, unless one is scheduled."""
    counts = state.host_counts
    if counts.scheduled or not state.following.is_reader:
        return
    counts.scheduled = True
    first_us = counts.started_us + FIRST_COUNT_US
    at_us = max(first_us, state.now_us + COUNT_INTERVAL_US)
    state.timers.add(at_us, timers.HostCountDue())


def on_due(state: state_lib.GateState) -> None:
    """Asks every reader for its count, this host included."""
    state.host_counts.scheduled = False
    if not state.following.is_reader:
        return
    state.emit(effects.CountHosts(tuple(state.following.readers)))
    schedule(state)


def on_counted(state: state_lib.GateState, event: events.HostsCounted) -> None:
    """Adds up the counts of the readers and reports the sum."""
    counts = state.host_counts
    unanswered = set()
    for reader, hosts in event.hosts_by_reader.items():
        if hosts is None:
            unanswered.add(reader)
        else:
            counts.by_reader[reader] = store_state.ReaderCount(
                hosts, state.now_us
            )
    _log_unanswered(state, unanswered)
    oldest_us = state.now_us - READER_COUNT_RETENTION_US
    counts.by_reader = {
        reader: count
        for reader, count in counts.by_reader.items()
        if reader in event.hosts_by_reader and count.counted_us >= oldest_us
    }
    all_counted = len(counts.by_reader) == len(event.hosts_by_reader)
    if not all_counted and counts.started_us > oldest_us:
        # A reader that has not been reached yet may have followers.
        return
    hosts = sum(count.hosts for count in counts.by_reader.values())
    state.emit(effects.ReportHosts(hosts))
    _record(state, hosts)


def _log_unanswered(state: state_lib.GateState, unanswered: set[str]) -> None:
    counts = state.host_counts
    for reader in sorted(unanswered - counts.unanswered):
        latest = counts.by_reader.get(reader)
        used = "the number of gate hosts is unknown"
        if latest is not None:
            used = f"its latest count of {latest.hosts} gate hosts is used"
        detail = (
            f"the reader {reader} does not tell how many hosts follow it;"
            f" {used} for up to {READER_COUNT_RETENTION_US // 1_000_000} s"
        )
        state.emit(effects.WriteLogLine("warning", "count_lost", detail))
    for reader in sorted(counts.unanswered - unanswered):
        detail = f"the reader {reader} tells again how many hosts follow it"
        state.emit(effects.WriteLogLine("info", "count_regained", detail))
    counts.unanswered = unanswered


def on_reported(
    state: state_lib.GateState, event: events.HostsReported
) -> None:
    """Records the sum that the followed reader reports."""
    if event.stream == state.following.stream_number:
        _record(state, event.hosts)


def _record(state: state_lib.GateState, hosts: int) -> None:
    counts = state.host_counts
    previous = counts.logged
    counts.recent.add(state.now_us, hosts)
    largest = fleet.counted_hosts(state)
    if largest is None or largest == previous:
        return
    counts.logged = largest
    detail = f"the fleet has {largest} gate hosts, after {previous}"
    state.emit(effects.WriteLogLine("info", "gate_hosts_counted", detail))
    discovery.refresh_services(state)
