"""Logs and metrics tell by which version of the configuration a call was run.

Without them a host that runs calls by an old version can't be told from one
that is up to date.
"""

import io
import json

import logbook
import pytest

from fireflyspindle import logs
from fireflyspindle import metrics as metrics_lib
from fireflyspindle.commands import explain
from fireflyspindle.core import effects
from fireflyspindle.core import held_calls
from fireflyspindle.core import store_state
from fireflyspindle.testing import store as store_lib
import platform_driver
import published_driver as published_host
import test_following
import wire

APPLY_LIMIT_US = 2_000_000
CONFIGURATION = store_state.Source.CONFIGURATION
CODES = ("configuration_unproven", "configuration_proven")


@pytest.fixture
def follower():
    """Returns a host that has read version 1 through a reader."""
    host = test_following.FollowingHost()
    host.relay_reads(
        configured=published_host.document(), entries=[published_host.entry(0)]
    )
    return host


def run_call(host, call_id):
    """Runs a call to its end; returns how it finished."""
    host.arrive_and_send(call_id)
    host.answer(call_id, 1)
    host.finish(call_id)
    return host.effects_of(effects.CallFinished)[-1]


def transitions(host):
    """Returns the lines on a configuration that may not be the newest."""
    return [
        line
        for line in host.effects_of(effects.WriteLogLine)
        if line.code in CODES
    ]


def test_finished_call_states_the_version_that_routed_it(follower):
    assert run_call(follower, 1).configuration_version == 1
    follower.call_arrives(2)
    follower.relay_reads(configured=published_host.document(2))
    follower.answer_probes()
    follower.answer(2, 1)
    follower.finish(2)
    finished = follower.effects_of(effects.CallFinished)[-1]
    assert (finished.call_id, finished.configuration_version) == (2, 1)
    assert run_call(follower, 3).configuration_version == 2
    assert not finished.configuration_unproven


def test_refused_call_states_the_version_that_refused_it(follower):
    follower.call_arrives(1, path="/none/x")
    (finished,) = follower.effects_of(effects.CallFinished)
    assert finished.configuration_version == 1


def test_call_by_a_version_that_may_be_old_is_marked(follower):
    follower.advance(APPLY_LIMIT_US - 800_000)
    assert not run_call(follower, 1).configuration_unproven
    follower.fail_reads_for(800_001, CONFIGURATION)
    finished = run_call(follower, 2)
    assert finished.configuration_unproven
    assert finished.configuration_version == 1


def test_change_is_logged_once_at_the_start_and_once_at_the_end(follower):
    follower.fail_reads_for(APPLY_LIMIT_US, CONFIGURATION)
    assert transitions(follower) == []
    for call_id in range(1, 31):
        run_call(follower, call_id)
    (started,) = transitions(follower)
    assert (started.level, started.code) == ("warning", CODES[0])
    assert "by version 1, which may not be the newest" in started.detail
    follower.relay_reads(configured=published_host.document(2))
    run_call(follower, 31)
    _, ended = transitions(follower)
    assert (ended.level, ended.code) == ("info", CODES[1])
    assert "by version 2, which was the newest 800 ms ago" in ended.detail
    assert "30 calls" in ended.detail


def test_relayed_read_that_is_too_old_does_not_end_it(follower):
    follower.fail_reads_for(APPLY_LIMIT_US, CONFIGURATION)
    run_call(follower, 1)
    follower.relay_reads(age_us=APPLY_LIMIT_US)
    assert [line.code for line in transitions(follower)] == [CODES[0]]


def test_omitted_records_are_named_once_the_limit_has_passed(follower):
    follower.omit_records(CONFIGURATION, next_offset=5)
    run_call(follower, 1)
    assert transitions(follower) == []
    follower.advance(APPLY_LIMIT_US)
    follower.call_arrives(2)
    follower.advance(held_calls.MAX_HOLD_US)
    (started,) = transitions(follower)
    assert "the reader omitted records" in started.detail


def test_undecodable_version_is_named_as_the_reason(make_published_host):
    host = make_published_host()
    host.configure(None, newest_is_decodable=False)
    run_call(host, 1)
    (started,) = transitions(host)
    assert "the newest record can't be decoded" in started.detail
    host.configure(published_host.document(2), newest_is_decodable=True)
    assert [line.code for line in transitions(host)] == list(CODES)


def finished_call(version, attempts=1, unproven=False):
    """Returns the end of a call that a version routed."""
    return effects.CallFinished(
        call_id=1,
        tenant="",
        traffic_class="",
        target="",
        outcome=effects.Outcome.COMPLETE,
        total_us=1,
        target_us=1,
        attempts=attempts,
        configuration_version=version,
        configuration_unproven=unproven,
    )


def test_calls_are_counted_by_the_newest_versions():
    metrics = metrics_lib.Metrics()
    for version in range(1, 10):
        metrics.on_call_finished(finished_call(version, unproven=version > 7))
    metrics.render()
    metrics.on_call_finished(finished_call(10))
    metrics.on_call_finished(finished_call(10, attempts=0, unproven=True))
    text = metrics.render()[0].decode()
    counted = [
        line for line in text.splitlines() if "by_version_total{" in line
    ]
    assert counted == [
        f'fireflyspindle_calls_by_version_total{{version="{version}"}} 1'
        for version in (7, 8, 9, 10)
    ]
    assert 'events_total{kind="configuration_unproven"} 2' in text


async def test_host_states_its_version_in_metrics_and_log():
    output = io.StringIO()
    previous_level = logs.logger.level
    logs.logger.level = logbook.lookup_level("DEBUG")
    handler = logs.JsonLinesHandler(output, "DEBUG")
    try:
        with handler.applicationbound():
            async with platform_driver.running(
                platform_driver.server_behaviour()
            ) as platform:
                store = platform.store
                document = platform_driver.document(12)
                store.write(store_lib.CONFIGURATION_TOPIC, "config", document)
                table = platform.host.state.rule_table
                await wire.until(lambda: table.version == 12)
                await platform.send_request(platform_driver.request())
                response = await platform.host._on_metrics(None)
                metrics = response.body.decode()
    finally:
        logs.logger.level = previous_level
    assert 'fireflyspindle_state{name="configuration_version"} 12' in metrics
    assert 'calls_by_version_total{version="12"} 1' in metrics
    found = [json.loads(line) for line in output.getvalue().splitlines()]
    (call,) = [line for line in found if line.get("code") == "call"]
    assert call["configuration_version"] == 12
    assert call["configuration_unproven"] is False


def test_explanation_names_the_version(tmp_path, capsys):
    call = {
        "time": "2",
        "code": "call",
        "request_id": "q1",
        "route": "r",
        "outcome": "complete",
        "total_us": 0,
        "attempts": 1,
        "configuration_version": 7,
        "configuration_unproven": True,
    }
    unproven = {
        "time": "1",
        "code": "configuration_unproven",
        "message": "calls are routed by version 7",
    }
    path = tmp_path / "edge.log"
    path.write_text("\n".join(map(json.dumps, (unproven, call))))
    assert explain.explain("q1", path) == 0
    printed = capsys.readouterr().out
    assert "1 sends, by version 7 (perhaps not the newest)" in printed
    assert "believed: calls are routed by version 7" in printed
