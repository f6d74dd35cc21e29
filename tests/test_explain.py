"""A request's story, from the log lines of its gate host."""

import io
import json
import os

import logbook
import pytest

from fireflyspindle import logs
from fireflyspindle.commands import explain
from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import steps


def finished(host):
    return host.of(effects.CallFinished)[-1]


def words(host):
    return [step.what for step in finished(host).steps.kept]


def test_each_decision_of_a_repeated_call_leaves_one_step(
    make_published_host,
):
    host = make_published_host(targets=4)
    host.place(1)
    host.answer(1, 1, status=503, not_run=True)
    while host.state.probes:
        host.tell_loads()
    host.answer(1, 2)
    host.finish(1)
    decided = [word for word in words(host) if word != "looks"]
    assert decided == ["sent", "answered", "sent", "answered"]
    sent = dict(finished(host).steps.kept[1].inputs)
    assert {"pace", "stated_ms_ago", "own_in_flight"} <= sent.keys()


def test_refusal_keeps_its_status_and_reason(make_published_host):
    host = make_published_host(targets=0)
    host.arrive(1)
    assert words(host) == ["looks", "gave_up"]
    told = dict(finished(host).steps.kept[1].inputs)
    assert (told["status"], told["error"]) == (503, "no_target")


def test_failed_send_keeps_whether_it_left(make_published_host):
    host = make_published_host(targets=1)
    host.place(1, repeatable=False)
    host.fail(1, 1, events.FailureReason.DISCONNECTED, sent=True)
    failed = dict(finished(host).steps.kept[2].inputs)
    assert failed == {"attempt": 1, "why": "disconnected", "sent": True}


def test_steps_of_one_call_are_bounded():
    found = steps.Steps()
    for number in range(100):
        found.add(steps.Step(number, "waits"))
    assert len(found.kept) == steps.MAX_STEPS
    assert found.left_out == 100 - steps.MAX_STEPS


CALL = {
    "time": "2026-04-11T16:05:30.500",
    "message": "call finished",
    "code": "call",
    "request_id": "q1",
    "route": "r-1",
    "outcome": "unknown",
    "late": True,
    "total_us": 812_000,
    "attempts": 1,
    "steps": [
        {"ms": 7.1, "what": "sent", "target": "i-4", "pace": 1.0},
        {"ms": 812.0, "what": "gave_up", "status": 504, "error": "deadline"},
    ],
    "steps_left_out": 0,
}
EJECTED = {
    "time": "2026-04-11T16:05:30.100",
    "message": "s: i-4 is ejected: 3 failures in a row",
    "code": "target_ejected",
}


def test_story_is_told_in_order_with_what_was_believed(tmp_path, capsys):
    path = tmp_path / "edge-1.log"
    lines = ["not a log line", json.dumps(EJECTED), json.dumps(CALL)]
    path.write_text("\n".join(lines))
    assert explain.explain("q1", path) == 0
    told = capsys.readouterr().out
    assert "ended unknown late after 812 ms and 1 sends" in told
    assert told.index("sent") < told.index("504")
    assert "believed: s: i-4 is ejected" in told


def test_unknown_request_is_said_so(monkeypatch, capsys):
    monkeypatch.setattr("sys.stdin", io.StringIO(json.dumps(CALL)))
    assert explain.explain("q2") == 1
    assert "q2" in capsys.readouterr().err


@pytest.fixture
def pipe():
    """The two ends of a pipe as streams."""
    reading, writing = os.pipe()
    with os.fdopen(reading, "rb") as reader, os.fdopen(writing, "w") as writer:
        os.set_blocking(reader.fileno(), False)
        yield reader, writer


def record(message):
    found = logbook.LogRecord("test", logbook.INFO, message, kwargs={})
    found.heavy_init()
    return found


def test_flood_of_lines_is_cut_and_counted(pipe):
    reader, writer = pipe
    handler = logs.BoundedHandler(writer, lines_per_s=20.0)
    for number in range(1_000):
        handler.emit(record(f"line {number}"))
    written = reader.read().decode().splitlines()
    assert 20 <= len(written) <= 40
    assert handler.dropped == 1_000 - len(written)


def test_reader_that_stands_still_does_not_stop_the_process(pipe):
    reader, writer = pipe
    handler = logs.BoundedHandler(writer, lines_per_s=1e6)
    for _ in range(300):
        handler.emit(record("x" * 1_000))
    assert handler.dropped > 0
    first = reader.read()
    handler.emit(record("after"))
    rest = first + reader.read()
    for line in rest.decode().splitlines():
        assert json.loads(line)
    assert json.loads(rest.decode().splitlines()[-1])["lines_left_out"] > 0
