"""Target registration and the published configuration."""

import pytest

from fireflyspindle.core import discovery
from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import published
from fireflyspindle.core import readiness
from fireflyspindle.core import target_selection
import published_driver as published_host


def usable_ids(host):
    return sorted(
        key
        for key, target in host.service().targets.items()
        if not target.leaving
    )


def test_draining_target_stays_draining_after_other_entries(
    make_published_host,
):
    host = make_published_host(targets=2)
    ready_entry = published_host.entry(0, sequence=3)
    host.register(
        published_host.with_fields(ready_entry, draining=True, sequence=4)
    )
    assert usable_ids(host) == ["i-1"]
    host.register(ready_entry)
    assert usable_ids(host) == ["i-1"]
    host.register(published_host.with_fields(ready_entry, sequence=9))
    assert usable_ids(host) == ["i-1"]


def test_new_start_under_the_same_id_is_used(make_published_host):
    host = make_published_host(targets=2)
    host.register(published_host.entry(0, draining=True, sequence=7))
    host.register(published_host.entry(0, started_ms=2_000, sequence=1))
    assert usable_ids(host) == ["i-0", "i-1"]
    host.register(published_host.entry(0, started_ms=1_000, sequence=8))
    assert usable_ids(host) == ["i-0", "i-1"]


def test_removed_entry_ends_new_calls_at_once(make_published_host):
    host = make_published_host(targets=2)
    host.register(removed=["i-0"])
    assert usable_ids(host) == ["i-1"]


def test_leaving_targets_take_no_place_among_the_candidates(
    make_published_host,
):
    """All but two targets of a large service are being replaced."""
    host = make_published_host(targets=60)
    host.register(
        *(
            published_host.entry(number, draining=True, sequence=2)
            for number in range(2, 60)
        )
    )
    for call_id in range(1, 11):
        attempt = host.arrive_and_send(call_id)
        assert attempt is not None
        assert attempt.target in ("10.0.0.0:80", "10.0.0.1:80")
        host.answer(call_id, attempt.attempt, report=published_host.load())
        host.finish(call_id)
        host.advance(50_000)


def test_candidates_are_picked_once_when_many_targets_leave(
    make_published_host, monkeypatch
):
    host = make_published_host(targets=60)
    refresh = target_selection.refresh_candidates
    refreshed = []

    def record(state, service):
        refreshed.append(service.name)
        refresh(state, service)

    monkeypatch.setattr(target_selection, "refresh_candidates", record)
    host.register(
        *(
            published_host.entry(number, draining=True, sequence=2)
            for number in range(1, 60)
        )
    )
    assert refreshed == ["s"]
    assert [target.spec.key for target in host.service().candidates] == ["i-0"]


def test_empty_read_processes_no_target(make_published_host, monkeypatch):
    """Empty reads come about once per second, also with a thousand targets."""
    host = make_published_host(targets=2)
    built = []
    build = discovery._target_spec
    monkeypatch.setattr(
        discovery,
        "_target_spec",
        lambda *args: built.append(args) or build(*args),
    )
    host.register()
    assert built == []
    host.register(published_host.entry(2))
    assert built


def test_entry_that_expired_in_an_outage_has_a_grace_period(
    make_published_host,
):
    host = make_published_host(targets=2)
    host.feed(events.StoreReadFailed, "targets", "refused")
    host.advance(4_000_000)
    host.register(removed=["i-0", "i-1"])
    assert usable_ids(host) == ["i-0", "i-1"]
    host.advance(1_500_000)
    host.register(published_host.entry(0, sequence=2))
    host.advance(600_000)
    assert usable_ids(host) == ["i-0"]


# The entry is removed once, so nothing else would end the grace period.
def test_expired_target_is_removed_after_an_extended_grace_period(
    make_published_host,
):
    host = make_published_host(targets=2)
    host.feed(events.StoreReadFailed, "targets", "refused")
    host.register(removed=["i-1"])
    host.advance(1_000_000)
    host.feed(events.StoreReadFailed, "targets", "refused")
    host.register()
    host.advance(10_000_000)
    assert usable_ids(host) == ["i-0"]


def test_full_read_after_an_outage_removes_missing_targets(
    make_published_host,
):
    host = make_published_host(targets=3)
    host.feed(events.StoreHistoryDropped, "targets", 7)
    host.register(published_host.entry(1), is_snapshot=True)
    assert usable_ids(host) == ["i-1"]


def test_latest_start_wins_when_two_targets_share_an_address(
    make_published_host,
):
    host = make_published_host(targets=1)
    host.register(
        published_host.entry(5, address="10.0.0.0:80", started_ms=5_000)
    )
    assert usable_ids(host) == ["i-5"]


@pytest.mark.parametrize(
    ("status", "report"),
    [
        (421, events.LoadReport()),
        (421, None),
        (503, events.LoadReport(incarnation="i-9")),
    ],
)
def test_answer_of_another_target_stops_calls_to_the_registered_one(
    make_published_host, status, report
):
    host = make_published_host(targets=2)
    sending = host.arrive_and_send(1, repeatable=False)
    host.answer(1, 1, status, not_run=True, report=report)
    assert sending.incarnation not in usable_ids(host)
    while host.state.probes:
        host.answer_probes()
    assert len(host.sent) == 2


def test_older_configuration_is_ignored(make_published_host):
    host = make_published_host()
    host.configure(published_host.document(version=5))
    host.configure(
        published_host.document(
            version=4, rules=[published_host.rule(prefix="/old/")]
        )
    )
    assert host.state.rule_table.version == 5
    host.call_arrives(1, path="/old/x")
    assert host.gate_answer(1).status == 404


def test_host_without_a_configuration_refuses_with_retry_after(
    make_published_host,
):
    host = make_published_host()
    host.state.rule_table = published.RuleTable()
    host.call_arrives(1)
    assert host.gate_answer(1).status == 503
    assert host.gate_answer(1).outcome is effects.Outcome.NOT_RUN
    assert host.gate_answer(1).retry_after_ms > 0
    assert "no configuration" in readiness.not_ready_reason(host.state)


def test_service_missing_from_the_configuration_is_removed(
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
    host.call_arrives(1)
    assert host.gate_answer(1).status == 503


def test_first_change_is_read_at_once_and_later_reads_are_spaced(
    make_published_host,
):
    host = make_published_host(min_read_interval_ms=1_400)
    host.advance(10_000_000)
    returned_effects = host.register(published_host.entry(7))
    reads = [e for e in returned_effects if isinstance(e, effects.ReadStore)]
    assert [read.delay_us for read in reads] == [0]
    host.advance(200_000)
    returned_effects = host.register(published_host.entry(8))
    reads = [e for e in returned_effects if isinstance(e, effects.ReadStore)]
    assert [read.delay_us for read in reads] == [1_200_000]


def test_failed_reads_are_retried_with_backoff(make_published_host):
    host = make_published_host()
    delays_us = []
    for _ in range(8):
        returned_effects = host.feed(
            events.StoreReadFailed, "targets", "refused"
        )
        delays_us += [
            e.delay_us
            for e in returned_effects
            if isinstance(e, effects.ReadStore)
        ]
    # A retry does not long-poll: the store may never answer a waiting read.
    assert host.effects_of(effects.ReadStore)[-1].wait_ms == 0
    assert delays_us[0] <= 125_000
    assert 1_050_000 <= delays_us[-1] <= 1_750_000
    codes = [e.code for e in host.effects_of(effects.WriteLogLine)]
    assert codes.count("store_lost") == 1
    host.register()
    assert [e.code for e in host.effects_of(effects.WriteLogLine)][
        -1
    ] == "store_regained"
    assert 0 < host.effects_of(effects.ReadStore)[-1].wait_ms <= 1_000
    host.advance(7_000_000)
    host.register()
    assert 0 < host.effects_of(effects.ReadStore)[-1].wait_ms <= 1_000


def test_call_after_the_drain_grace_period_is_refused(make_published_host):
    host = make_published_host()
    host.feed(events.StopRequested)
    host.arrive_and_send(1)
    host.feed(events.StopRequested)
    host.call_arrives(2)
    assert host.gate_answer(2).status == 503
    assert host.gate_answer(2).outcome is effects.Outcome.NOT_RUN


def test_call_cut_by_the_drain_deadline_is_answered_unknown(
    make_published_host,
):
    rule = published_host.rule(repeatable=False, timeout_ms=90_000)
    host = make_published_host(rules=[rule])
    host.arrive_and_send(1)
    host.feed(events.StopRequested)
    host.advance(60_000_001)
    assert host.gate_answer(1).status == 502
    assert host.gate_answer(1).outcome is effects.Outcome.UNKNOWN


@pytest.mark.parametrize(
    "invalid_fields",
    [
        {"address": "10.0.0.9:99999"},
        {"address": "999.1.1.1:80"},
        {"failure_domain": "x" * 200},
        {"slots": 0},
    ],
)
def test_invalid_entry_is_logged_and_does_not_affect_others(
    make_published_host, invalid_fields
):
    host = make_published_host(targets=2)
    returned_effects = host.register(published_host.entry(9, **invalid_fields))
    assert usable_ids(host) == ["i-0", "i-1"]
    codes = [
        e.code for e in returned_effects if isinstance(e, effects.WriteLogLine)
    ]
    assert codes == ["entry_unusable"]
    host.register(published_host.entry(7))
    assert usable_ids(host) == ["i-0", "i-1", "i-7"]


def test_load_path_with_trailing_slash_is_probed(make_published_host):
    host = make_published_host(targets=2)
    service = published.ServiceSettings("s", "/health/", 260)
    document = published_host.document(version=2)
    host.configure(published_host.with_fields(document, services=(service,)))
    returned_effects = host.call_arrives(1)
    paths = [
        e.path for e in returned_effects if isinstance(e, effects.ProbeTarget)
    ]
    assert paths == ["/health/", "/health/"]


def test_only_one_source_is_retried_during_an_outage(
    make_published_host,
):
    host = make_published_host()
    pending_sources = ["configuration", "targets"]
    retried_sources = []
    for _ in range(8):
        returned_effects = host.feed(
            events.StoreReadFailed, pending_sources.pop(0), "refused"
        )
        new = [
            e.source
            for e in returned_effects
            if isinstance(e, effects.ReadStore)
        ]
        pending_sources += new
        retried_sources += new
    # Each source is retried after its first failure; then only one is.
    assert len(pending_sources) == 1
    assert retried_sources.count("configuration") == 1
    returned_effects = host.register()
    reads = [e for e in returned_effects if isinstance(e, effects.ReadStore)]
    assert {read.source for read in reads} == {"configuration", "targets"}
    other = next(read for read in reads if read.source == "configuration")
    assert (other.delay_us, other.wait_ms) == (0, 0)
    assert not any(reads.suspended for reads in host.state.store_reads.values())
