"""Targets that register themselves, and the configuration they serve."""

import pytest

from fireflyspindle.core import discovery
from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import published
from fireflyspindle.core import readiness
import published_driver as published_host


def usable(host):
    return sorted(
        key
        for key, target in host.service().targets.items()
        if not target.leaving
    )


def test_draining_is_never_taken_back_by_an_older_entry(make_published_host):
    host = make_published_host(targets=2)
    ready = published_host.entry(0, sequence=3)
    host.register(published_host.changed(ready, draining=True, sequence=4))
    assert usable(host) == ["i-1"]
    host.register(ready)
    assert usable(host) == ["i-1"]
    host.register(published_host.changed(ready, sequence=9))
    assert usable(host) == ["i-1"]


def test_new_start_under_the_same_id_is_used(make_published_host):
    host = make_published_host(targets=2)
    host.register(published_host.entry(0, draining=True, sequence=7))
    host.register(published_host.entry(0, born_ms=2_000, sequence=1))
    assert usable(host) == ["i-0", "i-1"]
    host.register(published_host.entry(0, born_ms=1_000, sequence=8))
    assert usable(host) == ["i-0", "i-1"]


def test_removed_entry_ends_new_calls_at_once(make_published_host):
    host = make_published_host(targets=2)
    host.register(removed=["i-0"])
    assert usable(host) == ["i-1"]


def test_read_that_brings_nothing_looks_at_no_target(
    make_published_host, monkeypatch
):
    """Reads bring nothing about once a second, for a thousand targets too."""
    host = make_published_host(targets=2)
    built = []
    build = discovery._target_spec
    monkeypatch.setattr(
        discovery,
        "_target_spec",
        lambda *given: built.append(given) or build(*given),
    )
    host.register()
    assert built == []
    host.register(published_host.entry(2))
    assert built


def test_entry_that_lapsed_in_an_outage_may_come_back(make_published_host):
    host = make_published_host(targets=2)
    host.feed(events.StoreReadFailed, "targets", "refused")
    host.advance(4_000_000)
    host.register(removed=["i-0", "i-1"])
    assert usable(host) == ["i-0", "i-1"]
    host.advance(1_500_000)
    host.register(published_host.entry(0, sequence=2))
    host.advance(600_000)
    assert usable(host) == ["i-0"]


def test_whole_listing_after_an_outage_drops_what_it_lacks(
    make_published_host,
):
    host = make_published_host(targets=3)
    host.feed(events.StoreHistoryDropped, "targets", 7)
    host.register(published_host.entry(1), whole=True)
    assert usable(host) == ["i-1"]


def test_of_two_targets_at_one_address_the_later_start_is_used(
    make_published_host,
):
    host = make_published_host(targets=1)
    host.register(published_host.entry(5, address="10.0.0.0:80", born_ms=5_000))
    assert usable(host) == ["i-5"]


@pytest.mark.parametrize(
    ("status", "report"),
    [
        (421, events.LoadReport()),
        (421, None),
        (503, events.LoadReport(incarnation="i-9")),
    ],
)
def test_answer_of_another_target_ends_calls_to_the_one_listed(
    make_published_host, status, report
):
    host = make_published_host(targets=2)
    sending = host.place(1, repeatable=False)
    host.answer(1, 1, status, not_run=True, report=report)
    assert sending.incarnation not in usable(host)
    while host.state.probes:
        host.tell_loads()
    assert len(host.sent) == 2


def test_older_configuration_changes_nothing(make_published_host):
    host = make_published_host()
    host.configure(published_host.document(version=5))
    host.configure(
        published_host.document(
            version=4, rules=[published_host.rule(prefix="/old/")]
        )
    )
    assert host.state.rules.version == 5
    host.arrive(1, path="/old/x")
    assert host.told(1).status == 404


def test_host_without_a_configuration_refuses_for_a_while(
    make_published_host,
):
    host = make_published_host()
    host.state.rules = published.RuleTable()
    host.arrive(1)
    assert host.told(1).status == 503
    assert host.told(1).outcome is effects.Outcome.NOT_RUN
    assert host.told(1).retry_after_ms > 0
    assert "no configuration" in readiness.not_ready_reason(host.state)


def test_service_that_leaves_the_configuration_is_dropped(
    make_published_host,
):
    host = make_published_host()
    host.configure(
        published_host.document(
            version=2,
            rules=[published_host.rule(service="t")],
            services=("t",),
        )
    )
    assert list(host.state.services) == ["t"]
    host.arrive(1)
    assert host.told(1).status == 503


def test_burst_of_changes_is_read_at_once_and_then_spaced(
    make_published_host,
):
    host = make_published_host(read_spacing_ms=1_400)
    host.advance(10_000_000)
    taken = host.register(published_host.entry(7))
    reads = [e for e in taken if isinstance(e, effects.ReadStore)]
    assert [read.delay_us for read in reads] == [0]
    host.advance(200_000)
    taken = host.register(published_host.entry(8))
    reads = [e for e in taken if isinstance(e, effects.ReadStore)]
    assert [read.delay_us for read in reads] == [1_200_000]


def test_reads_that_fail_are_repeated_ever_more_slowly(make_published_host):
    host = make_published_host()
    delays_us = []
    for _ in range(8):
        taken = host.feed(events.StoreReadFailed, "targets", "refused")
        delays_us += [
            e.delay_us for e in taken if isinstance(e, effects.ReadStore)
        ]
    # A read that hangs while the store comes back would hang for its wait.
    assert host.of(effects.ReadStore)[-1].wait_ms == 0
    assert delays_us[0] <= 125_000
    assert 1_050_000 <= delays_us[-1] <= 1_750_000
    reports = [e.code for e in host.of(effects.Report)]
    assert reports.count("store_lost") == 1
    host.register()
    assert [e.code for e in host.of(effects.Report)][-1] == "store_regained"
    assert 0 < host.of(effects.ReadStore)[-1].wait_ms <= 1_000
    host.advance(7_000_000)
    host.register()
    assert 0 < host.of(effects.ReadStore)[-1].wait_ms <= 1_000


def test_call_after_the_grace_time_of_a_stop_is_refused(make_published_host):
    host = make_published_host()
    host.feed(events.StopRequested)
    host.place(1)
    host.feed(events.StopRequested)
    host.arrive(2)
    assert host.told(2).status == 503
    assert host.told(2).outcome is effects.Outcome.NOT_RUN


def test_call_cut_at_the_end_of_a_stop_is_not_told_not_run(
    make_published_host,
):
    rule = published_host.rule(repeatable=False, timeout_ms=90_000)
    host = make_published_host(rules=[rule])
    host.place(1)
    host.feed(events.StopRequested)
    host.advance(60_000_001)
    assert host.told(1).status == 502
    assert host.told(1).outcome is effects.Outcome.UNKNOWN


@pytest.mark.parametrize(
    "broken",
    [
        {"address": "10.0.0.9:99999"},
        {"address": "999.1.1.1:80"},
        {"failure_domain": "x" * 200},
        {"slots": 0},
    ],
)
def test_entry_that_names_no_usable_target_harms_no_other(
    make_published_host, broken
):
    host = make_published_host(targets=2)
    taken = host.register(published_host.entry(9, **broken))
    assert usable(host) == ["i-0", "i-1"]
    codes = [e.code for e in taken if isinstance(e, effects.Report)]
    assert codes == ["entry_unusable"]
    host.register(published_host.entry(7))
    assert usable(host) == ["i-0", "i-1", "i-7"]


def test_load_path_of_any_form_is_asked(make_published_host):
    host = make_published_host(targets=2)
    terms = published.ServiceTerms("s", "/health/", 260)
    found = published_host.document(version=2)
    host.configure(published_host.changed(found, services=(terms,)))
    taken = host.arrive(1)
    asked = [e.path for e in taken if isinstance(e, effects.ProbeTarget)]
    assert asked == ["/health/", "/health/"]


def test_one_source_at_a_time_looks_whether_the_store_is_back(
    make_published_host,
):
    host = make_published_host()
    under_way = ["configuration", "targets"]
    asked = []
    for _ in range(8):
        taken = host.feed(events.StoreReadFailed, under_way.pop(0), "refused")
        new = [e.source for e in taken if isinstance(e, effects.ReadStore)]
        under_way += new
        asked += new
    # The first failure of each is tried again; then one source goes on.
    assert len(under_way) == 1
    assert asked.count("configuration") == 1
    taken = host.register()
    reads = [e for e in taken if isinstance(e, effects.ReadStore)]
    assert {read.source for read in reads} == {"configuration", "targets"}
    other = next(read for read in reads if read.source == "configuration")
    assert (other.delay_us, other.wait_ms) == (0, 0)
    assert not any(reads.parked for reads in host.state.store_reads.values())
