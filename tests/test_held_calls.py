"""A host that stood still holds calls until a read of the configuration tells.

Guards against requests run by the route of before: a resumed host handles what
waits in its sockets before it has read of a change. Guards as well against a
hold that costs callers: in an outage, past a deadline, or after they have left.
"""

import pytest

import driver
from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import held_calls
from fireflyspindle.core import published
from fireflyspindle.core import store_state
import platform_driver
import published_driver as published_host
import test_following
import wire

CONFIGURATION = store_state.Source.CONFIGURATION
APPLY_LIMIT_US = 2_000_000
FROZEN_US = 5_000_000
HOLD_US = held_calls.MAX_HOLD_US
HELPER_FIELDS = {"relayed": True, "relay_service": "s"}


def strict_rule(service="s", **fields):
    """Returns a rule whose requests may run once."""
    return published_host.rule(service=service, repeatable=False, **fields)


def moved(version=2, **fields):
    """Returns a version by which the route leads to another service."""
    return published_host.document(
        version, [strict_rule("new", **fields)], services=("s", "new")
    )


@pytest.fixture
def make_host(make_published_host):
    """Returns a factory of hosts that read the store themselves."""

    def make(rule=None, **fields):
        rule = rule or strict_rule()
        host = make_published_host(targets=2, rules=[rule], **fields)
        host.reads_go_on = False
        host.register(published_host.entry(9, service="new"))
        return host

    return make


@pytest.fixture
def host(make_host):
    """Returns a host that stood still for longer than a change may take."""
    host = make_host()
    host.now_us += FROZEN_US
    return host


@pytest.fixture
def follower():
    """Returns a host that has read version 1 through a reader."""
    host = test_following.FollowingHost()
    host.relay_reads(
        configured=published_host.document(rules=[strict_rule()]),
        entries=[
            published_host.entry(0),
            published_host.entry(9, service="new"),
        ],
    )
    return host


def answer_all_probes(host):
    """Answers the probes until no more are sent."""
    while host.state.probes:
        host.answer_probes()


def read(host, document=None):
    """Ends a read of the store that starts now."""
    host.state.store_reads[CONFIGURATION].scheduled_us = host.now_us
    host.configure(document)
    answer_all_probes(host)


def fail_read(host):
    """Lets a read of the configuration by the host fail."""
    host.feed(events.StoreReadFailed, CONFIGURATION.value, "no response")
    answer_all_probes(host)


def sent_to(host):
    """Returns the id of each call that was sent, and its service."""
    services = host.state.services
    names = {
        target.spec.address: name
        for name, service in services.items()
        for target in service.targets.values()
    }
    return [(e.call_id, names[e.target]) for e in host.sent]


def finished(host, call_id):
    """Returns the only end of a call."""
    (end,) = [
        e for e in host.effects_of(effects.CallFinished) if e.call_id == call_id
    ]
    return end


def held_ids(host):
    """Returns the ids of the held calls."""
    return list(host.state.held_calls.calls)


def test_call_is_sent_by_the_version_that_a_read_brings(host):
    host.call_arrives(1)
    answer_all_probes(host)
    assert (host.sent, held_ids(host)) == ([], [1])
    host.advance(HOLD_US - 1)
    assert host.sent == []
    read(host, moved())
    assert sent_to(host) == [(1, "new")]
    assert host.state.calls[1].configuration_version == 2
    assert not host.state.calls[1].configuration_unproven


def test_call_is_sent_once_a_read_shows_that_nothing_has_changed(host):
    host.call_arrives(1)
    read(host)
    assert sent_to(host) == [(1, "s")]
    assert not host.state.calls[1].configuration_unproven


def test_follower_holds_until_its_reader_has_told(follower):
    follower.now_us += FROZEN_US
    follower.call_arrives(1)
    follower.relay_reads(age_us=APPLY_LIMIT_US)
    assert held_ids(follower) == [1]
    follower.relay_reads(configured=moved())
    answer_all_probes(follower)
    assert sent_to(follower) == [(1, "new")]


def test_read_that_a_resumed_host_reads_late_does_not_end_the_hold(host):
    host.call_arrives(1)
    host.configure(None)
    answer_all_probes(host)
    assert (host.sent, held_ids(host)) == ([], [1])


def test_order_of_held_calls_is_kept(host):
    for call_id in (3, 1, 2):
        host.call_arrives(call_id)
    read(host, moved())
    order = list(host.state.calls)
    assert order == [3, 1, 2]


def test_host_that_has_read_within_the_limit_holds_nothing(make_host):
    host = make_host()
    host.now_us += APPLY_LIMIT_US
    host.call_arrives(1)
    assert (held_ids(host), list(host.state.calls)) == ([], [1])


def test_nothing_is_held_for_records_that_a_reader_has_just_omitted(follower):
    follower.omit_records(CONFIGURATION, next_offset=5)
    assert follower.arrive_and_send(1) is not None


def test_call_goes_on_after_the_longest_hold(host):
    host.call_arrives(1)
    host.advance(HOLD_US)
    answer_all_probes(host)
    assert sent_to(host) == [(1, "s")]
    assert host.state.calls[1].configuration_unproven


@pytest.mark.parametrize("late_read", [False, True])
def test_silent_store_delays_callers_once(host, late_read):
    host.call_arrives(1)
    host.advance(HOLD_US)
    for call_id in range(2, 30):
        if late_read and call_id == 5:
            fail_read(host)
            late_start_us = host.now_us - APPLY_LIMIT_US - 1
            host.configure(None, late_start_us=late_start_us)
        attempt = host.arrive_and_send(call_id)
        host.answer(call_id, attempt.attempt)
        host.finish(call_id)
        host.advance(700_000)
    assert host.state.held_calls.total == 1
    read(host)
    host.now_us += FROZEN_US
    host.call_arrives(40)
    assert held_ids(host) == [40]


def test_failed_read_ends_the_hold(host):
    host.call_arrives(1)
    fail_read(host)
    assert sent_to(host) == [(1, "s")]
    assert host.arrive_and_send(2) is not None


def test_failure_that_the_reader_reports_ends_the_hold(follower):
    follower.now_us += FROZEN_US
    follower.call_arrives(1)
    relayed = events.RelayedRead(follower.stream, 0)
    follower.feed(events.StoreReadFailed, CONFIGURATION.value, "503", relayed)
    answer_all_probes(follower)
    assert sent_to(follower) == [(1, "s")]


def test_nothing_is_held_while_reads_are_known_to_fail(follower):
    follower.fail_reads_for(APPLY_LIMIT_US + 1, CONFIGURATION)
    assert follower.arrive_and_send(1) is not None
    assert follower.state.held_calls.total == 0


@pytest.mark.parametrize("document", [None, moved()])
def test_call_whose_caller_leaves_is_not_sent(host, document):
    host.call_arrives(1)
    host.call_arrives(2)
    host.advance(10_000)
    host.feed(events.CallerDisconnected, 1)
    end = finished(host, 1)
    assert (end.outcome, end.attempts) == (effects.Outcome.NOT_RUN, 0)
    assert end.total_us == 10_000
    assert [step.what for step in end.steps.kept] == ["caller_left"]
    read(host, document)
    assert [e.call_id for e in host.sent] == [2]
    finished(host, 1)


def test_hold_whose_callers_have_all_left_leaves_nothing_behind(host):
    host.call_arrives(1)
    host.feed(events.CallerDisconnected, 1)
    assert (held_ids(host), host.state.calls) == ([], {})
    read(host, moved())
    assert (host.sent, host.state.held_calls.since_us) == ([], None)
    host.advance(FROZEN_US)
    host.call_arrives(2)
    assert held_ids(host) == [2]


@pytest.mark.parametrize("leave", [False, True])
def test_calls_that_end_early_do_not_prolong_the_hold(host, leave):
    """A hold for each of them would delay callers throughout an outage."""
    for call_id in range(1, 6):
        host.call_arrives(call_id, deadline_ms=40)
        host.advance(20_000 if leave else 40_000)
        if leave:
            host.feed(events.CallerDisconnected, call_id)
        host.advance(20_000 if leave else 0)
    assert host.state.held_calls.total == 4
    assert host.arrive_and_send(6, deadline_ms=40) is not None


def test_deadline_counts_from_the_arrival(host):
    arrived_us = host.now_us
    host.call_arrives(1)
    host.advance(100_000)
    read(host, moved(timeout_ms=700))
    call = host.state.calls[1]
    assert call.deadline_us == arrived_us + 700_000
    assert call.arrived_us == arrived_us
    assert call.steps.kept[0].what == "held"


@pytest.mark.parametrize("stated", [False, True])
@pytest.mark.parametrize("frozen", [False, True])
def test_held_call_is_answered_at_its_deadline(make_host, stated, frozen):
    rule = strict_rule(timeout_ms=800 if stated else 60)
    host = make_host(rule)
    host.now_us += FROZEN_US
    host.call_arrives(1, **({"deadline_ms": 60} if stated else {}))
    if frozen:
        host.now_us += FROZEN_US
        read(host, moved(timeout_ms=60))
    else:
        host.advance(60_000)
    answer = host.gate_answer(1)
    assert (answer.status, answer.error) == (503, "deadline")
    assert answer.outcome is effects.Outcome.NOT_RUN
    assert finished(host, 1).attempts == 0
    read(host, moved())
    assert (host.sent, host.state.calls, held_ids(host)) == ([], {}, [])


def test_deadline_of_one_call_does_not_end_the_hold_of_others(host):
    host.call_arrives(1, deadline_ms=60)
    host.call_arrives(2)
    host.advance(60_000)
    answer_all_probes(host)
    assert (host.sent, held_ids(host)) == ([], [2])


def test_call_is_not_sent_at_once_if_the_hold_outlasts_its_deadline(make_host):
    """Calls are sent without a probe round while there are no probes left."""
    host = make_host(probes_per_s=0.01)
    host.now_us += FROZEN_US
    host.call_arrives(1, deadline_ms=60)
    host.call_arrives(2)
    host.now_us += 70_000
    host.configure(None, late_start_us=host.now_us)
    assert [e.call_id for e in host.sent] == [2]
    assert host.gate_answer(1).outcome is effects.Outcome.NOT_RUN


@pytest.mark.parametrize("grace_ms", [0, 1_000])
def test_planned_stop_while_calls_are_held(make_host, grace_ms):
    host = make_host(
        drain={"drain_grace_ms": grace_ms, "drain_limit_ms": 5_000}
    )
    host.now_us += FROZEN_US
    host.call_arrives(1)
    host.feed(events.StopRequested)
    if grace_ms:
        assert held_ids(host) == [1]
        read(host, moved())
        assert sent_to(host) == [(1, "new")]
        return
    answer = host.gate_answer(1)
    assert (answer.status, answer.error) == (503, "stopping")
    assert answer.outcome is effects.Outcome.NOT_RUN
    assert (host.sent, held_ids(host)) == ([], [])
    kinds = [type(effect) for effect in host.effects]
    assert kinds.count(effects.Exit) == 1
    assert kinds.index(effects.AnswerCaller) < kinds.index(effects.Exit)


def test_hard_limit_of_a_stop_answers_held_calls_first(make_host):
    """A host may be suspended past both the grace period and the limit."""
    host = make_host(drain={"drain_grace_ms": 1_000, "drain_limit_ms": 900})
    host.feed(events.StopRequested)
    host.now_us += FROZEN_US
    host.call_arrives(1)
    host.feed(events.TimerFired)
    assert host.gate_answer(1).outcome is effects.Outcome.NOT_RUN
    kinds = [type(effect) for effect in host.effects]
    assert kinds.index(effects.AnswerCaller) < kinds.index(effects.Exit)


def test_host_that_takes_no_more_calls_refuses_at_once(make_host):
    host = make_host(drain={"drain_grace_ms": 0})
    host.arrive_and_send(1)
    host.feed(events.StopRequested)
    host.now_us += FROZEN_US
    host.call_arrives(2)
    assert host.gate_answer(2).error == "stopping"


def test_relayed_call_goes_on_by_the_version_of_the_read(host):
    host.call_arrives(1, **HELPER_FIELDS)
    host.call_arrives(2, **HELPER_FIELDS | {"relay_service": "new"})
    read(host, moved())
    # The version leads to the new service only.
    assert sent_to(host) == [(2, "new")]
    answer = host.gate_answer(1)
    assert (answer.status, answer.not_carried) == (421, True)


def test_held_relayed_call_is_answered_within_the_time_of_its_relay(host):
    host.call_arrives(1, deadline_ms=40, **HELPER_FIELDS)
    host.advance(40_000)
    answer = host.gate_answer(1)
    assert (answer.status, answer.outcome) == (503, effects.Outcome.NOT_RUN)
    assert host.sent == []


def test_unknown_path_is_not_found_once_a_read_has_told(host):
    host.call_arrives(1, path="/none/x")
    assert host.gate_answer(1) is None
    read(host)
    assert host.gate_answer(1).status == 404


def test_calls_above_the_bound_are_refused_as_not_run(host):
    for call_id in range(1, held_calls.MAX_HELD_CALLS + 1):
        host.call_arrives(call_id)
    host.call_arrives(0)
    answer = host.gate_answer(0)
    assert (answer.status, answer.error) == (503, "configuration_outdated")
    assert answer.outcome is effects.Outcome.NOT_RUN
    finished(host, 0)
    assert len(held_ids(host)) == held_calls.MAX_HELD_CALLS


def test_host_without_a_configuration_refuses_at_once():
    host = test_following.FollowingHost()
    host.now_us += FROZEN_US
    host.call_arrives(1)
    assert host.gate_answer(1).error == "no_configuration"


def test_host_without_a_store_holds_nothing():
    host = driver.Host()
    host.now_us += FROZEN_US
    assert host.call_arrives(1) is not None


def test_hold_is_counted_and_logged(host):
    for call_id in (1, 2, 3):
        host.call_arrives(call_id)
    host.advance(20_000)
    read(host, moved())
    (line,) = [
        line
        for line in host.effects_of(effects.WriteLogLine)
        if line.code == "calls_held"
    ]
    assert line.level == "info"
    assert line.detail.startswith("3 calls were held, for up to 20 ms")
    assert host.state.held_calls.total == 3


@pytest.mark.parametrize("withdrawn", [False, True])
def test_key_of_a_held_call_is_judged_by_the_version_of_the_read(
    make_host, withdrawn
):
    def keyed(version, *digests):
        organisation = published.Organisation("o", frozenset(digests))
        return published_host.with_fields(
            published_host.document(version, [strict_rule()]),
            organisations=(organisation,),
        )

    host = make_host()
    read(host, keyed(2, "old", "other"))
    host.now_us += FROZEN_US
    host.call_arrives(1, key_digest="old")
    host.call_arrives(2, key_digest="new")
    assert held_ids(host) == [1, 2]
    read(host, keyed(3, "other" if withdrawn else "old", "new"))
    expected = [2] if withdrawn else [1, 2]
    assert [e.call_id for e in host.sent] == expected
    if withdrawn:
        assert host.gate_answer(1).status == 401


def stand_still(platform):
    """Makes the knowledge of a running host as old as after a suspension."""
    reads = platform.host.state.store_reads[CONFIGURATION]
    reads.complete_until_us -= FROZEN_US


async def test_connection_that_ends_while_its_call_is_held_leaves_no_state():
    async with platform_driver.running(
        platform_driver.server_behaviour()
    ) as platform:
        caller = await platform.caller()
        stand_still(platform)
        held = platform.host.state.held_calls
        path = platform_driver.STRICT + "1"
        caller.writer.write(platform_driver.request(path, method="PUT"))
        # At once, so that no read ends the hold before.
        caller.close()
        await wire.until(
            lambda: held.total and not platform.host.data_path.exchanges
        )
        assert (held.calls, platform.host.state.calls) == ({}, {})
        response = await platform.send_request(platform_driver.request())
        assert response.first_line.split()[1] == b"200"
        assert len(platform.requests) == 1
        metrics = (await platform.host._on_metrics(None)).body.decode()
    assert f'events_total{{kind="call_held"}} {held.total}' in metrics


async def test_held_call_of_a_running_host_is_served():
    async with platform_driver.running(
        platform_driver.server_behaviour()
    ) as platform:
        stand_still(platform)
        response = await platform.send_request(platform_driver.request())
        assert response.first_line.split()[1] == b"200"
        assert platform.host.state.held_calls.total == 1
