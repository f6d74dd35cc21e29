"""Headers between the platform's clients, gate hosts and servers."""

from collections.abc import Mapping

from fireflyspindle import headers
from fireflyspindle.core import events

_PREFIX = "X-Fireflyspindle-"
REQUEST_ID = _PREFIX + "Request-Id"
DEADLINE_MS = _PREFIX + "Deadline-Ms"
TARGET_INSTANCE = _PREFIX + "Target-Instance"
NOT_EXECUTED = _PREFIX + "Not-Executed"
INSTANCE_ID = _PREFIX + "Instance-Id"
SERVER_LOAD = _PREFIX + "Server-Load"
SERVER_SIGNATURE = _PREFIX + "Server-Signature"

# Running, waiting and slots; a fourth figure for the pace is not always there.
LOAD_FIGURES = 3
# The pace of a server at its usual speed.
USUAL_PACE = 100.0
MAX_FIGURE = 1_000_000


def read_load(given: Mapping[str, str]) -> events.LoadReport:
    """Reads the load that a server states; what can't be read is left out."""
    report = events.LoadReport(incarnation=given.get(INSTANCE_ID, "")[:100])
    texts = given.get(SERVER_LOAD, "").split(",")
    figures = [_figure(text) for text in texts]
    if len(figures) < LOAD_FIGURES or None in figures:
        return report
    running, waiting, slots = (figure or 0 for figure in figures[:3])
    report.in_flight = running + waiting
    report.slots = slots
    if len(figures) > LOAD_FIGURES:
        report.pace = (figures[LOAD_FIGURES] or 0) / USUAL_PACE
    return report


def _figure(text: str) -> int | None:
    text = text.strip()
    if not text.isascii() or not text.isdecimal() or len(text) > 7:
        return None
    return min(int(text), MAX_FIGURE)


DIALECT = headers.Dialect(
    request_id=REQUEST_ID,
    deadline_ms=DEADLINE_MS,
    not_run=NOT_EXECUTED,
    target_incarnation=TARGET_INSTANCE,
    outcome="",
    own_prefix=_PREFIX.lower().encode(),
    answered=frozenset({SERVER_SIGNATURE.lower().encode()}),
    callers_give_ids=True,
    strict_echo=True,
    whole_messages=True,
    fractional_retry_after=True,
    read_load=read_load,
)
