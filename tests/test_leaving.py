"""Signs of leaving, by event, and what ends them."""

import pytest

from fireflyspindle.core import events
from fireflyspindle.core import incarnations
from fireflyspindle.core import leaving

A = "10.0.0.0:80"


def stated(host, incarnation="", is_leaving=False):
    """An answer of target A arrives."""
    call_id = len(host.effects) + 1_000
    host.state.services["s"].targets[A].in_flight = -9
    attempt = host.arrive(call_id)
    host.state.services["s"].targets[A].in_flight += 9
    report = events.LoadReport(
        in_flight=0, leaving=is_leaving, incarnation=incarnation
    )
    if attempt is None or attempt.target != A:
        leaving.on_report(host.state, A, report)
        return
    host.answer(call_id, attempt.attempt, report=report)
    host.finish(call_id)


def listed(host, host_id, is_leaving=False):
    entry = events.ListedHost(host_id, A, is_leaving)
    host.feed(events.HostListRead, [], [entry])


def peer(host, *ids):
    leaving.note_from_peer(host.state, incarnations.Sign(A, ids))


def readded(host, *_):
    rest = [{"address": address} for address in host.addresses[1:]]
    host.publish("service", "s", {"targets": rest})
    host.publish("service", "s", {"targets": [*rest, {"address": A}]})


@pytest.mark.parametrize(
    ("steps", "expected"),
    [
        ([(stated, "a", True)], True),
        ([(stated, "", True)], True),
        ([(listed, "h1", True)], True),
        ([(peer,)], True),
        ([(stated, "a"), (peer, "answer:a")], True),
        # Older signs and late answers of the same incarnation change nothing.
        ([(stated, "a", True), (stated, "a", False)], True),
        ([(stated, "a", True), (listed, "h1", False)], True),
        ([(listed, "h1", True), (listed, "h1", False)], True),
        ([(stated, "a", True), (readded,)], True),
        ([(stated, "", True), (stated, "a", False)], True),
        # A new incarnation ends it, by either source.
        ([(stated, "a", True), (stated, "b")], False),
        ([(listed, "h1", True), (listed, "h2")], False),
        ([(listed, "h1"), (stated, "a", True), (listed, "h2")], False),
        # Signs about the one before do not bind the new one.
        ([(stated, "a", True), (stated, "b"), (stated, "a", True)], False),
        ([(stated, "a", True), (stated, "b"), (peer, "answer:a")], False),
        ([(listed, "h1"), (listed, "h2"), (listed, "h1", True)], False),
        ([(stated, "a"), (peer,)], False),
        ([(stated, "a"), (peer, "answer:b")], False),
        # Nor do they bring it back when it leaves in its turn.
        (
            [
                (stated, "a", True),
                (stated, "b", True),
                (stated, "a"),
                (listed, "h1"),
            ],
            True,
        ),
        # A peer's word that comes first binds the incarnation once seen.
        ([(stated, "a"), (peer, "answer:b"), (stated, "b")], True),
        ([(listed, "h1"), (peer, "answer:a")], True),
        ([(listed, "h1"), (peer, "answer:a", "list:h0")], False),
    ],
)
def test_signs(make_host, steps, expected):
    host = make_host()
    for step, *given in steps:
        step(host, *given)
    assert host.state.services["s"].targets[A].leaving == expected
    told = [sign.address for sign in leaving.signs(host.state)]
    assert told == ([A] if expected else [])
    before = len(host.sent)
    for call_id in range(1, 41):
        host.arrive(call_id)
    used = {effect.target for effect in host.sent[before:]}
    assert (A in used) != expected


def test_all_leaving_is_not_run(make_host):
    host = make_host(targets=2)
    for address in host.addresses:
        leaving.note(host.state, address)
    assert host.arrive(1) is None
    assert host.outcome(1).value == "not-run"


def test_signs_travel_to_a_peer_that_knows_less(make_host):
    here, there = make_host(), make_host()
    listed(here, "h1")
    stated(here, "a", True)
    listed(there, "h1")
    for sign in leaving.signs(here.state):
        leaving.note_from_peer(there.state, sign)
    assert leaving.is_leaving(there.state, A)
    stated(there, "b")
    assert not leaving.is_leaving(there.state, A)
