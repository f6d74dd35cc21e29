"""Budgets that all gate hosts of a fleet share."""

from fireflyspindle.core import effects
from fireflyspindle.core import placement
from fireflyspindle.core import published
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


# Calls that wait for a free slot probe again and again.
def test_fleet_does_not_probe_more_often_than_its_budget(make_published_host):
    host = host_of_a_large_fleet(make_published_host, probes_per_s=42.0)
    full = published_host.slow_loads(TARGETS, in_flight=4)
    for call_id in range(1, 101):
        host.call_arrives(call_id, deadline_ms=5_000)
        published_host.answer_probes(host, full, DURATION_US // 100)
    probes = HOSTS * len(host.effects_of(effects.ProbeTarget))
    duration_s = DURATION_US / 1e6 + placement.PROBE_BURST_S
    assert 0 < probes <= 42.0 * TARGETS * duration_s


def test_fleet_does_not_resend_more_often_than_its_budget(make_published_host):
    host = host_of_a_large_fleet(
        make_published_host, resend_share=0.2, resend_slack=164.0
    )
    for call_id in range(1, 21):
        host.arrive_and_send(call_id)
        for attempt in (1, 2):
            host.answer(call_id, attempt, status=503, not_run=True)
            while host.state.probes:
                host.answer_probes()
        resends = HOSTS * (len(host.sent) - call_id)
        assert resends <= 0.2 * HOSTS * call_id + 164.0
    assert resends
