"""Calls that wait for a service which a new version removes.

Such calls were held until their deadline: nothing was left that would send or
refuse them.
"""

import pytest

from fireflyspindle.core import effects
import published_driver as published_host

TIMEOUT_MS = 4_000
OTHER_RULE = published_host.rule("other", service="other", prefix="/other/")


def wait_for_a_slot(host):
    """Lets call 1 wait, since every target is full."""
    host.call_arrives(1)
    published_host.answer_probes(
        host, published_host.slow_loads(in_flight=4, slowdown=1.0), 60_000
    )
    assert 1 in host.service().waiting_calls


def wait_for_probes(host):
    """Lets call 1 wait for the answers to its probes."""
    host.call_arrives(1)
    assert host.state.calls[1].probe_round is not None


@pytest.mark.parametrize("wait", [wait_for_a_slot, wait_for_probes])
@pytest.mark.parametrize("returns", [False, True])
def test_call_that_waits_for_a_removed_service_is_refused_at_once(
    make_published_host, wait, returns
):
    rule = published_host.rule(timeout_ms=TIMEOUT_MS, repeatable=False)
    host = make_published_host(targets=2, rules=[rule])
    wait(host)
    host.configure(published_host.document(2, [OTHER_RULE], ["other"]))
    if returns:
        host.configure(published_host.document(3, [rule]))
    answer = host.gate_answer(1)
    assert (answer.status, answer.outcome) == (503, effects.Outcome.NOT_RUN)
    assert host.state.calls == {}
    host.fail_probes()
    host.advance(TIMEOUT_MS * 1000)
    assert host.sent == []


def test_call_at_a_target_of_a_removed_service_is_answered(
    make_published_host,
):
    rule = published_host.rule(timeout_ms=TIMEOUT_MS)
    host = make_published_host(targets=2, rules=[rule])
    host.arrive_and_send(1)
    host.configure(published_host.document(2, [OTHER_RULE], ["other"]))
    assert host.gate_answer(1) is None
    host.answer(1, 1)
    host.finish(1)
    assert host.outcome(1) is effects.Outcome.COMPLETE


def test_call_of_a_moved_route_waits_on(make_published_host):
    rule = published_host.rule(timeout_ms=TIMEOUT_MS)
    host = make_published_host(targets=2, rules=[rule])
    wait_for_a_slot(host)
    moved = published_host.rule(service="other", timeout_ms=TIMEOUT_MS)
    host.configure(published_host.document(2, [moved], ["s", "other"]))
    published_host.answer_probes(host, None, 60_000)
    assert [send.call_id for send in host.sent] == [1]
