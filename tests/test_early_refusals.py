"""Early refusal of calls that can't be sent in time under shortage."""

import pytest

from fireflyspindle.bench import load_replay
from fireflyspindle.core import api_keys
from fireflyspindle.core import effects
from fireflyspindle.core import published
from fireflyspindle.core.load_sharing import admission
import published_driver as published_host

DIGEST = api_keys.digest("key")
FULL = published_host.slow_loads(in_flight=4, slowdown=1.0)


@pytest.fixture
def make_short_host(make_published_host):
    """Returns a factory of hosts whose calls have waited for a second."""

    def make(has_organisations):
        host = make_published_host(targets=6)
        if has_organisations:
            organisation = published.Organisation("o", frozenset({DIGEST}))
            host.configure(
                published_host.with_fields(
                    published_host.document(version=2),
                    organisations=(organisation,),
                )
            )
        for call_id in range(100, 120):
            host.call_arrives(call_id, key_digest=DIGEST)
            published_host.answer_probes(host, FULL, 60_000)
        return host

    return make


# A call that waits in vain learns it too late to try another host.
def test_call_is_refused_at_once_while_no_slot_becomes_free(make_short_host):
    host = make_short_host(True)
    host.call_arrives(9, key_digest=DIGEST)
    published_host.answer_probes(host, FULL, 20_000)
    refused = host.gate_answer(9)
    assert refused.status == 503
    assert refused.outcome is effects.Outcome.NOT_RUN
    left_ms = 800 - 20
    assert 0 < refused.retry_after_ms <= left_ms / 3
    assert host.state.sharing.refused_early


# Callers that are refused together would come back together.
def test_retry_after_differs_between_refused_callers(make_short_host):
    host = make_short_host(True)
    for call_id in range(10, 20):
        host.call_arrives(call_id, key_digest=DIGEST)
    published_host.answer_probes(host, FULL, 20_000)
    refusals = [host.gate_answer(call_id) for call_id in range(10, 20)]
    assert len({refusal.retry_after_ms for refusal in refusals}) >= 5


def test_call_waits_as_before_without_organisations(make_short_host):
    host = make_short_host(False)
    host.call_arrives(9, key_digest=DIGEST)
    published_host.answer_probes(host, FULL, 100_000)
    assert host.gate_answer(9) is None
    assert 9 in host.service().waiting_calls


def test_first_waiting_call_is_not_refused(make_short_host):
    """A single wait shows no lasting shortage."""
    host = make_short_host(True)
    host.now_us += 10_000_000
    host.call_arrives(9, key_digest=DIGEST)
    published_host.answer_probes(host, FULL, 60_000)
    assert 9 in host.service().waiting_calls


def _burst(factor):
    load = load_replay.Load(
        hosts=30,
        targets=10,
        slots=4,
        queue=16,
        requests_per_s=200.0,
        duration_s=4.0,
        organisations=tuple(
            load_replay.Organisation(
                name, 0.5, lambda now_s: factor if now_s >= 1 else 1.0
            )
            for name in ("a", "b")
        ),
    )
    return load_replay.Replay(load).run()


# Refusals must not cost callers whom a wait would have served.
@pytest.mark.parametrize(("factor", "gain"), [(2.2, 0.03), (1.2, -0.01)])
def test_more_callers_are_answered_in_time(monkeypatch, factor, gain):
    refusing = _burst(factor)
    monkeypatch.setattr(admission, "is_enabled", lambda *_: False)
    waiting = _burst(factor)
    assert refusing.share_in_time() >= waiting.share_in_time() + gain
    if gain > 0:
        assert refusing.worst_second() > waiting.worst_second()
