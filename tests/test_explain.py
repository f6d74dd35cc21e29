"""Tests of the steps of a call, their explanation and bounded logging."""

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


def finished_call(host):
    return host.effects_of(effects.CallFinished)[-1]


def step_names(host):
    return [step.what for step in finished_call(host).steps.kept]


def test_each_decision_of_a_resent_call_is_one_step(
    make_published_host,
):
    host = make_published_host(targets=4)
    host.arrive_and_send(1)
    host.answer(1, 1, status=503, not_run=True)
    while host.state.probes:
        host.answer_probes()
    host.answer(1, 2)
    host.finish(1)
    decisions = [name for name in step_names(host) if name != "looks"]
    assert decisions == ["sent", "answered", "sent", "answered"]
    sent = dict(finished_call(host).steps.kept[1].inputs)
    assert {"pace", "stated_ms_ago", "own_in_flight"} <= sent.keys()


def test_refusal_step_has_status_and_error(make_published_host):
    host = make_published_host(targets=0)
    host.call_arrives(1)
    assert step_names(host) == ["looks", "gave_up"]
    gave_up = dict(finished_call(host).steps.kept[1].inputs)
    assert (gave_up["status"], gave_up["error"]) == (503, "no_target")


def test_failure_step_says_whether_the_request_was_sent(make_published_host):
    host = make_published_host(targets=1)
    host.arrive_and_send(1, repeatable=False)
    host.fail(1, 1, events.FailureReason.DISCONNECTED, sent=True)
    failed = dict(finished_call(host).steps.kept[2].inputs)
    assert failed == {"attempt": 1, "why": "disconnected", "sent": True}


def test_refusal_without_a_route_tells_the_version_and_its_age(
    make_published_host,
):
    host = make_published_host()
    host.advance(300_000)
    host.call_arrives(1, path="/unknown/x")
    (step,) = finished_call(host).steps.kept
    assert step.what == "gave_up"
    inputs = dict(step.inputs)
    assert (inputs["status"], inputs["error"]) == (404, "no_route")
    assert "no route of version 1 matches" in inputs["why"]
    assert "300 ms ago" in inputs["why"]


def test_number_of_steps_is_bounded():
    call_steps = steps.Steps()
    for number in range(100):
        call_steps.add(steps.Step(number, "waits"))
    assert len(call_steps.kept) == steps.MAX_STEPS
    assert call_steps.dropped_count == 100 - steps.MAX_STEPS


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


def test_explanation_has_ordered_steps_and_target_state(tmp_path, capsys):
    path = tmp_path / "edge-1.log"
    lines = ["not a log line", json.dumps(EJECTED), json.dumps(CALL)]
    path.write_text("\n".join(lines))
    assert explain.explain("q1", path) == 0
    output = capsys.readouterr().out
    assert "ended unknown late after 812 ms and 1 sends" in output
    assert output.index("sent") < output.index("504")
    assert "believed: s: i-4 is ejected" in output


def test_explanation_of_a_request_names_the_crashes_under_its_copies(
    tmp_path, capsys
):
    call = {
        "time": "2",
        "code": "call",
        "request_id": "q1",
        "route": "r",
        "fingerprint": "f" * 32,
        "outcome": "not-run",
        "total_us": 0,
        "attempts": 0,
        "steps": [{"ms": 0.0, "what": "gave_up", "error": "crashes_targets"}],
    }
    refused = {
        "time": "1",
        "code": "request_refused",
        "message": f"s: request {'f' * 32} is refused from now on",
    }
    other = {**refused, "message": f"s: request {'e' * 32} is refused"}
    path = tmp_path / "edge.log"
    path.write_text("\n".join(map(json.dumps, (other, refused, call))))
    assert explain.explain("q1", path) == 0
    printed = capsys.readouterr().out
    assert "error crashes_targets" in printed
    assert f"believed: s: request {'f' * 32} is refused from now on" in printed
    assert "e" * 32 not in printed


def test_unknown_request_is_reported(monkeypatch, capsys):
    monkeypatch.setattr("sys.stdin", io.StringIO(json.dumps(CALL)))
    assert explain.explain("q2") == 1
    assert "q2" in capsys.readouterr().err


@pytest.fixture
def pipe():
    """The read and write ends of a pipe, as streams."""
    reading, writing = os.pipe()
    with os.fdopen(reading, "rb") as reader, os.fdopen(writing, "w") as writer:
        os.set_blocking(reader.fileno(), False)
        yield reader, writer


def make_record(message):
    log_record = logbook.LogRecord("test", logbook.INFO, message, kwargs={})
    log_record.heavy_init()
    return log_record


def test_excess_log_lines_are_dropped_and_counted(pipe):
    reader, writer = pipe
    handler = logs.BoundedHandler(writer, lines_per_s=20.0)
    for number in range(1_000):
        handler.emit(make_record(f"line {number}"))
    written = reader.read().decode().splitlines()
    assert 20 <= len(written) <= 40
    assert handler.dropped == 1_000 - len(written)


def test_stalled_log_reader_does_not_block(pipe):
    reader, writer = pipe
    handler = logs.BoundedHandler(writer, lines_per_s=1e6)
    for _ in range(300):
        handler.emit(make_record("x" * 1_000))
    assert handler.dropped > 0
    first = reader.read()
    handler.emit(make_record("after"))
    rest = first + reader.read()
    for line in rest.decode().splitlines():
        assert json.loads(line)
    assert json.loads(rest.decode().splitlines()[-1])["lines_left_out"] > 0
