"""Quick calls of a service whose other route is slow."""

import published_driver as published_host

SECOND_US = 1_000_000
RULES = [
    published_host.rule(
        name="quick", timeout_ms=1_000, latency_objective_ms=300
    ),
    published_host.rule(
        name="slow",
        prefix="/slow/",
        timeout_ms=12_000,
        latency_objective_ms=10_000,
    ),
]


# The mean time of the service says that no call can be answered within 1 s.
def test_quick_call_is_not_refused_by_the_mean_time_of_slow_ones(
    make_published_host,
):
    host = make_published_host(targets=1, rules=RULES)
    for call_id in range(1_000, 1_020):
        assert host.arrive_and_send(call_id, path="/slow/x")
        host.advance(4 * SECOND_US)
        host.answer(call_id, 1)
        host.finish(call_id)
    assert host.arrive_and_send(1)
    host.call_arrives(2)
    while host.state.probes:
        host.answer_probes()
    assert host.gate_answer(2) is None
