"""The preview of where a request would be sent."""

import pickle
import random

from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core.previews import preview as preview_lib
import published_driver


def random_host(make_published_host, seed):
    """Returns a host with random loads, probe tokens, calls and troubles."""
    generator = random.Random(seed)
    host = make_published_host(
        targets=generator.randrange(0, 8),
        seed=seed,
        probes_per_s=generator.choice([0.0, 600.0]),
    )
    for call_id in range(1, generator.randrange(2, 30)):
        host.call_arrives(call_id, resendable=generator.random() < 0.5)
        if generator.random() < 0.7:
            host.answer_probes(
                slowdown=generator.choice([1.0, published_driver.SLOW])
            )
        host.advance(generator.randrange(60_000))
        if generator.random() < 0.5:
            load = published_driver.load(in_flight=generator.randrange(9))
            host.answer(call_id, 1, report=load)
            host.finish(call_id)
    for target in host.service().targets.values():
        target.leaving = generator.random() < 0.1
        if generator.random() < 0.1:
            target.paused_until_us = host.now_us + 1_000_000
    return host


def decide(host, call_id, emitted):
    """Returns the decision on a call, its address and the probed targets."""
    probed = []
    for effect in emitted:
        match effect:
            case effects.SendToTarget(sent_id, _, address) if (
                sent_id == call_id
            ):
                return "sent", address, ()
            case effects.AnswerCaller(answered_id) if answered_id == call_id:
                return "refused", "", ()
            case effects.ProbeTarget(probe_id, address):
                if host.state.probes[probe_id].call_id == call_id:
                    probed.append(address)
    return "probes" if probed else "waits", None, tuple(probed)


def test_preview_equals_the_decision_and_changes_nothing(make_published_host):
    """Guards against a preview that differs from what is done, or acts."""
    seen = set()
    for seed in range(300):
        host = random_host(make_published_host, seed)
        before = pickle.dumps(host.state)
        event = events.CallArrived(host.now_us, 0, "/s/x", host="h.example")
        previewed = preview_lib.preview(host.state, event)
        assert pickle.dumps(host.state) == before
        emitted = host.call_arrives(999)
        decision, address, probed = decide(host, 999, emitted)
        assert previewed.decision == decision, seed
        assert previewed.probed == probed, seed
        if address is not None:
            assert previewed.address == address, seed
        seen.add(decision)
    assert seen >= {"sent", "probes", "refused"}


def test_unknown_route_is_refused(make_published_host):
    """Guards against a preview that invents a target."""
    host = make_published_host()
    event = events.CallArrived(host.now_us, 0, "/none", host="h.example")
    previewed = preview_lib.preview(host.state, event)
    assert previewed.decision == "refused"
    assert previewed.status in (404, 503)
