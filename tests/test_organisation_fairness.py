"""Fairness between organisations that wait for the same service."""

import collections

import pytest

from fireflyspindle.bench import load_replay
from fireflyspindle.core import api_keys
from fireflyspindle.core import published
import published_driver as published_host

FULL = published_host.slow_loads(in_flight=4, slowdown=1.0)
WORK_US = 80_000
EXCESS_US = load_replay.START_US + 1_000_000


def _organisations(**rates_per_s):
    return tuple(
        published.Organisation(
            name,
            frozenset({api_keys.digest(name)}),
            requests_per_s=rate_per_s,
        )
        for name, rate_per_s in rates_per_s.items()
    )


@pytest.fixture
def make_shared_host(make_published_host):
    """Returns a factory of hosts with organisations, by quota."""

    def make(**rates_per_s):
        host = make_published_host(targets=6)
        new = published_host.with_fields(
            published_host.document(version=2),
            organisations=_organisations(**rates_per_s),
        )
        host.configure(new)
        return host

    return make


def _arrive(host, call_id, organisation):
    host.call_arrives(call_id, key_digest=api_keys.digest(organisation))


def _serve(host, first_id, organisation, count):
    for call_id in range(first_id, first_id + count):
        _arrive(host, call_id, organisation)
        while host.state.probes:
            host.answer_probes()
        host.answer(call_id, 1, report=published_host.load())
        host.finish(call_id)
        host.now_us += 10_000


def _sent_order(host, since):
    published_host.answer_probes(host, None, 60_000)
    return [effect.call_id for effect in host.sent[since:]]


# Served newest first, the organisation that sends most displaces the others.
@pytest.mark.parametrize(("served", "expected"), [(8, [1, 2]), (0, [2, 1])])
def test_organisation_that_was_served_least_goes_first(
    make_shared_host, served, expected
):
    host = make_shared_host(usual=10.0, excess=10.0)
    _serve(host, 100, "excess", served)
    host.now_us += 400_000
    _arrive(host, 1, "usual")
    published_host.answer_probes(host, FULL, 20_000)
    _arrive(host, 2, "excess")
    published_host.answer_probes(host, FULL, 20_000)
    assert _sent_order(host, served) == expected


# Without weights, a small organisation would be given as much as a large one.
def test_service_is_counted_relative_to_the_weight(make_shared_host):
    host = make_shared_host(large=40.0, small=4.0)
    _serve(host, 100, "large", 4)
    _serve(host, 200, "small", 2)
    host.now_us += 400_000
    _arrive(host, 1, "large")
    published_host.answer_probes(host, FULL, 20_000)
    _arrive(host, 2, "small")
    published_host.answer_probes(host, FULL, 20_000)
    assert _sent_order(host, 6) == [1, 2]


# A new call would take the slot that a less served organisation waits for.
def test_arriving_call_yields_to_a_waiting_one(make_shared_host):
    host = make_shared_host(usual=10.0, excess=10.0)
    _serve(host, 100, "excess", 8)
    host.now_us += 400_000
    _arrive(host, 1, "usual")
    published_host.answer_probes(host, FULL, 20_000)
    _arrive(host, 2, "excess")
    assert host.state.calls[2].probe_round is not None
    assert _sent_order(host, 8) == [1, 2]


def _excess_of_one(has_quotas):
    """The largest of 30 organisations sends six times its rate for 4 s."""
    shares = [1 / (rank + 1) ** 1.2 for rank in range(30)]
    organisations = tuple(
        load_replay.Organisation(
            f"o{rank}",
            share / sum(shares),
            (lambda now_s: 6.0 if now_s >= 1 else 1.0)
            if rank == 0
            else (lambda _: 1.0),
        )
        for rank, share in enumerate(shares)
    )
    load = load_replay.Load(
        hosts=8,
        targets=10,
        slots=4,
        queue=16,
        requests_per_s=230.0,
        duration_s=5.0,
        work_us=WORK_US,
        organisations=organisations,
        has_quotas=has_quotas,
    )
    return load_replay.Replay(load).run()


def _share_of_others(results):
    return results.share_in_time(
        [
            caller
            for caller in results.callers
            if caller.organisation != "o0" and caller.arrived_us > EXCESS_US
        ]
    )


# One organisation's excess takes the slots of all others.
def test_excess_of_one_organisation_costs_the_others_little():
    newest_first, fair = _excess_of_one(False), _excess_of_one(True)
    assert _share_of_others(fair) >= _share_of_others(newest_first) + 0.1
    assert fair.worst_tenth() > newest_first.worst_tenth()
    assert fair.share_in_time() >= newest_first.share_in_time() - 0.02
    counts = collections.Counter(c.organisation for c in fair.callers)
    for name, share in fair.by_organisation().items():
        if counts[name] >= 10:
            assert share >= fair.share_in_time() / 4
