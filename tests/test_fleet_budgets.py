"""Budgets that all gate hosts of a fleet share."""

import pytest

from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import fleet
from fireflyspindle.core import host_count
from fireflyspindle.core import placement
from fireflyspindle.core import published
from fireflyspindle.core import store_state
import published_driver as published_host

HOSTS = 99
TARGETS = 6
DURATION_US = 10_000_000


def host_of_a_large_fleet(make_published_host, **store):
    """Returns a host of a service with room for connections of 99 hosts."""
    host = make_published_host(targets=TARGETS, **store)
    settings = published.ServiceSettings("s", "/health", 1_100)
    document = published_host.document(version=2)
    host.configure(published_host.with_fields(document, services=(settings,)))
    return host


def report_hosts(host, hosts):
    """Feeds the number of gate hosts that the followed reader reports."""
    host.feed(events.HostsReported, host.state.following.stream_number, hosts)


def wait(host, duration_us):
    """Advances time; the host has seen its end."""
    host.advance(duration_us)
    host.feed(events.TimerFired)


# Calls that wait for a free slot probe again and again.
@pytest.mark.parametrize("counted", [None, HOSTS])
def test_fleet_does_not_probe_more_often_than_its_budget(
    make_published_host, counted
):
    host = host_of_a_large_fleet(make_published_host, probes_per_s=42.0)
    if counted is not None:
        report_hosts(host, counted)
        host.advance(fleet.JOIN_TIME_US)
    full = published_host.slow_loads(TARGETS, in_flight=4)
    for call_id in range(1, 101):
        host.call_arrives(call_id, deadline_ms=5_000)
        published_host.answer_probes(host, full, DURATION_US // 100)
    probes = HOSTS * len(host.effects_of(effects.ProbeTarget))
    duration_s = DURATION_US / 1e6 + placement.PROBE_BURST_S
    assert 0 < probes <= 42.0 * TARGETS * duration_s


@pytest.mark.parametrize("counted", [None, HOSTS])
def test_fleet_does_not_resend_more_often_than_its_budget(
    make_published_host, counted
):
    host = host_of_a_large_fleet(
        make_published_host, resend_share=0.2, resend_slack=164.0
    )
    if counted is not None:
        report_hosts(host, counted)
        host.advance(fleet.JOIN_TIME_US)
    for call_id in range(1, 21):
        host.arrive_and_send(call_id)
        for attempt in (1, 2):
            host.answer(call_id, attempt, status=503, not_run=True)
            while host.state.probes:
                host.answer_probes()
        resends = HOSTS * (len(host.sent) - call_id)
        assert resends <= 0.2 * HOSTS * call_id + 164.0
    assert resends


def test_fleet_does_not_open_more_connections_than_a_target_allows(
    make_published_host,
):
    host = host_of_a_large_fleet(make_published_host)
    report_hosts(host, 300)
    target = host.service().targets["i-0"]
    assert 1 <= target.max_connections <= 1_100 // 300


def test_host_that_has_just_started_takes_the_share_of_the_largest_fleet(
    make_published_host,
):
    host = host_of_a_large_fleet(make_published_host, probes_per_s=42.0)
    report_hosts(host, 2)
    largest_fleet = host.state.configuration.policy("s").gate_hosts_max
    budget_per_s = 42.0 * TARGETS
    assert placement.probe_budget_per_s(host.state) == pytest.approx(
        budget_per_s / largest_fleet
    )
    wait(host, fleet.JOIN_TIME_US)
    assert placement.probe_budget_per_s(host.state) == budget_per_s / 2


# Hosts that are cut off from the readers go on to use their shares.
def test_lost_hosts_leave_no_share_to_the_others_for_a_while(
    make_published_host,
):
    host = host_of_a_large_fleet(make_published_host)
    wait(host, fleet.JOIN_TIME_US)
    for hosts in (14, 17, 15, 9):
        report_hosts(host, hosts)
        wait(host, 1_000_000)
    assert fleet.size(host.state) == 17
    wait(host, store_state.HOST_COUNT_PERIOD_US - 1_500_000)
    assert fleet.size(host.state) == 15
    wait(host, 1_000_000)
    assert fleet.size(host.state) == 9
    wait(host, store_state.HOST_COUNT_PERIOD_US)
    assert fleet.size(host.state) == 9


# A number is reported only when it has changed.
def test_number_reported_long_ago_is_used_for_a_while_after_a_smaller_one(
    make_published_host,
):
    host = host_of_a_large_fleet(make_published_host)
    report_hosts(host, 17)
    wait(host, 2 * store_state.HOST_COUNT_PERIOD_US)
    report_hosts(host, 9)
    wait(host, store_state.HOST_COUNT_PERIOD_US - 1)
    assert fleet.size(host.state) == 17
    wait(host, 2)
    assert fleet.size(host.state) == 9


def test_report_of_a_previous_stream_is_ignored(make_published_host):
    host = host_of_a_large_fleet(make_published_host)
    wait(host, fleet.JOIN_TIME_US)
    host.feed(events.HostsReported, host.state.following.stream_number + 1, 99)
    assert fleet.size(host.state) is None


def test_reader_adds_up_the_counts_of_all_readers(make_published_host):
    others = ("10.0.0.2:1", "10.0.0.3:1")
    host = make_published_host(
        is_reader=True,
        control_address="10.0.0.1:1",
        other_reader_addresses=others,
    )
    host.advance(host_count.FIRST_COUNT_US)
    assert host.effects_of(effects.CountHosts) == [effects.CountHosts(others)]
    host.feed(
        events.HostsCounted, {"10.0.0.1:1": 5, others[0]: 6, others[1]: 4}
    )
    host.advance(host_count.COUNT_INTERVAL_US)
    assert len(host.effects_of(effects.CountHosts)) == 2
    host.feed(
        events.HostsCounted, {"10.0.0.1:1": 8, others[0]: 0, others[1]: None}
    )
    host.advance(host_count.READER_COUNT_RETENTION_US)
    host.feed(
        events.HostsCounted, {"10.0.0.1:1": 9, others[0]: 2, others[1]: None}
    )
    reports = [report.hosts for report in host.effects_of(effects.ReportHosts)]
    assert reports == [5 + 6 + 4, 8 + 0 + 4, 9 + 2]


def test_reader_that_does_not_answer_the_count_is_logged_once(
    make_published_host,
):
    other = "10.0.0.2:1"
    host = make_published_host(
        is_reader=True,
        control_address="10.0.0.1:1",
        other_reader_addresses=(other,),
    )
    for hosts in (None, 6, None, None, 7):
        host.feed(events.HostsCounted, {"10.0.0.1:1": 5, other: hosts})
    lines = [
        (line.code, line.detail)
        for line in host.effects_of(effects.WriteLogLine)
        if line.code in {"count_lost", "count_regained"}
    ]
    assert [code for code, _ in lines] == ["count_lost", "count_regained"] * 2
    assert "unknown" in lines[0][1]
    assert "latest count of 6 gate hosts" in lines[2][1]


# A reader that is cut off since its start would take the whole budget.
def test_reader_that_reached_no_other_reader_knows_no_count(
    make_published_host,
):
    host = make_published_host(
        is_reader=True,
        control_address="10.0.0.1:1",
        other_reader_addresses=("10.0.0.2:1", "10.0.0.3:1"),
    )
    counts = {"10.0.0.1:1": 1, "10.0.0.2:1": 6, "10.0.0.3:1": None}
    wait(host, fleet.JOIN_TIME_US)
    host.feed(events.HostsCounted, counts)
    assert fleet.size(host.state) is None
    assert host.effects_of(effects.ReportHosts) == []
    wait(host, host_count.READER_COUNT_RETENTION_US)
    host.feed(events.HostsCounted, counts)
    assert fleet.size(host.state) == 7


def test_host_that_becomes_a_reader_counts(make_published_host):
    host = make_published_host(other_reader_addresses=("10.0.0.2:1",))
    host.advance(10_000_000)
    assert host.effects_of(effects.CountHosts) == []
    host.feed(events.ReadersChanged, True, ("10.0.0.2:1",))
    host.advance(host_count.COUNT_INTERVAL_US)
    assert len(host.effects_of(effects.CountHosts)) == 1
