"""Marking targets as leaving, by event, and ending the mark."""

import pytest

from fireflyspindle.core import events
from fireflyspindle.core import incarnations
from fireflyspindle.core import leaving

A = "10.0.0.0:80"


def answer_with_report(host, incarnation="", is_leaving=False):
    """Feeds an answer of target A with a load report."""
    call_id = len(host.effects) + 1_000
    host.state.services["s"].targets[A].in_flight = -9
    attempt = host.call_arrives(call_id)
    host.state.services["s"].targets[A].in_flight += 9
    report = events.LoadReport(
        in_flight=0, leaving=is_leaving, incarnation=incarnation
    )
    if attempt is None or attempt.target != A:
        leaving.on_report(host.state, A, report)
        return
    host.answer(call_id, attempt.attempt, report=report)
    host.finish(call_id)


def list_target(host, host_id, is_leaving=False):
    entry = events.ListedHost(host_id, A, is_leaving)
    host.feed(events.HostListRead, [], [entry])


def send_notice(host, *ids):
    leaving.on_peer_notice(host.state, incarnations.LeavingNotice(A, ids))


def remove_and_add_target(host, *_):
    other_targets = [{"address": address} for address in host.addresses[1:]]
    host.publish("service", "s", {"targets": other_targets})
    host.publish("service", "s", {"targets": [*other_targets, {"address": A}]})


@pytest.mark.parametrize(
    ("steps", "expected"),
    [
        ([(answer_with_report, "a", True)], True),
        ([(answer_with_report, "", True)], True),
        ([(list_target, "h1", True)], True),
        ([(send_notice,)], True),
        ([(answer_with_report, "a"), (send_notice, "answer:a")], True),
        # Repeated notices and late answers of the same incarnation are ignored.
        (
            [(answer_with_report, "a", True), (answer_with_report, "a", False)],
            True,
        ),
        ([(answer_with_report, "a", True), (list_target, "h1", False)], True),
        ([(list_target, "h1", True), (list_target, "h1", False)], True),
        ([(answer_with_report, "a", True), (remove_and_add_target,)], True),
        (
            [(answer_with_report, "", True), (answer_with_report, "a", False)],
            True,
        ),
        # A new incarnation from either source ends the mark.
        ([(answer_with_report, "a", True), (answer_with_report, "b")], False),
        ([(list_target, "h1", True), (list_target, "h2")], False),
        (
            [
                (list_target, "h1"),
                (answer_with_report, "a", True),
                (list_target, "h2"),
            ],
            False,
        ),
        # Notices about the previous incarnation do not apply to the new one.
        (
            [
                (answer_with_report, "a", True),
                (answer_with_report, "b"),
                (answer_with_report, "a", True),
            ],
            False,
        ),
        (
            [
                (answer_with_report, "a", True),
                (answer_with_report, "b"),
                (send_notice, "answer:a"),
            ],
            False,
        ),
        (
            [
                (list_target, "h1"),
                (list_target, "h2"),
                (list_target, "h1", True),
            ],
            False,
        ),
        ([(answer_with_report, "a"), (send_notice,)], False),
        ([(answer_with_report, "a"), (send_notice, "answer:b")], False),
        # Late answers of the previous one do not end the mark of the new one.
        (
            [
                (answer_with_report, "a", True),
                (answer_with_report, "b", True),
                (answer_with_report, "a"),
                (list_target, "h1"),
            ],
            True,
        ),
        # An early notice of a peer applies once its incarnation is seen.
        (
            [
                (answer_with_report, "a"),
                (send_notice, "answer:b"),
                (answer_with_report, "b"),
            ],
            True,
        ),
        ([(list_target, "h1"), (send_notice, "answer:a")], True),
        ([(list_target, "h1"), (send_notice, "answer:a", "list:h0")], False),
    ],
)
def test_leaving_mark_by_sequence_of_events(make_host, steps, expected):
    host = make_host()
    for step, *args in steps:
        step(host, *args)
    assert host.state.services["s"].targets[A].leaving == expected
    noticed_addresses = [
        notice.address for notice in leaving.leaving_notices(host.state)
    ]
    assert noticed_addresses == ([A] if expected else [])
    sent_before = len(host.sent)
    for call_id in range(1, 41):
        host.call_arrives(call_id)
    called_targets = {effect.target for effect in host.sent[sent_before:]}
    assert (A in called_targets) != expected


def test_call_is_not_run_when_all_targets_are_leaving(make_host):
    host = make_host(targets=2)
    for address in host.addresses:
        leaving.mark_leaving(host.state, address)
    assert host.call_arrives(1) is None
    assert host.outcome(1).value == "not-run"


def test_notices_apply_at_a_peer_with_fewer_ids(make_host):
    informed_host, uninformed_host = make_host(), make_host()
    list_target(informed_host, "h1")
    answer_with_report(informed_host, "a", True)
    list_target(uninformed_host, "h1")
    for notice in leaving.leaving_notices(informed_host.state):
        leaving.on_peer_notice(uninformed_host.state, notice)
    assert leaving.is_leaving(uninformed_host.state, A)
    answer_with_report(uninformed_host, "b")
    assert not leaving.is_leaving(uninformed_host.state, A)


def test_new_incarnation_is_a_candidate_at_once(make_host):
    host = make_host(targets=2)
    address = host.addresses[0]
    report = events.LoadReport(incarnation="a", leaving=True)
    leaving.on_report(host.state, address, report)
    host.publish(
        "service",
        "s",
        {
            "targets": [
                {"address": each, "connection_limit": 60_000}
                for each in host.addresses
            ]
        },
    )
    report = events.LoadReport(incarnation="b")
    leaving.on_report(host.state, address, report)
    candidates = host.state.services["s"].candidates
    assert address in [target.spec.address for target in candidates]
