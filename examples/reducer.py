"""Drives the reducer with events alone, without a clock or a network."""

import json

import fireflyspindle
from fireflyspindle import events

RECORDS = [
    (
        "service",
        "quotes",
        {"targets": [{"address": "10.0.0.1:80"}, {"address": "10.0.0.2:80"}]},
    ),
    ("route", "quotes", {"path_prefix": "/quotes", "service": "quotes"}),
]


def main() -> None:
    """Feeds two records and the arrival of a call; prints the effects."""
    settings = fireflyspindle.CoreSettings(host_id="gate-1")
    state = fireflyspindle.new_state(settings, seed=1)
    effects = fireflyspindle.start(state, now_us=0)
    entries = [
        events.LogEntry(offset, _record_body(kind, name, payload))
        for offset, (kind, name, payload) in enumerate(RECORDS)
    ]
    read = events.LogRead(
        now_us=1_000,
        stream="configuration",
        entries=entries,
        from_offset=0,
        earliest_offset=0,
        next_offset=len(entries),
    )
    effects += fireflyspindle.reduce(state, read)
    call = events.CallArrived(now_us=2_000, call_id=1, path="/quotes/7")
    effects += fireflyspindle.reduce(state, call)
    for effect in effects:
        print(effect)


def _record_body(kind: str, name: str, payload: dict) -> str:
    return json.dumps(
        {
            "record_id": f"example-{kind}",
            "kind": kind,
            "name": name,
            "expected_revision": 0,
            "schema_version": 1,
            "oldest_reader_version": 1,
            "author": "example",
            "payload": payload,
        }
    )


if __name__ == "__main__":
    main()
