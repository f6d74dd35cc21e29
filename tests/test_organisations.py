"""Keys of requests at one gate host, on arrival and again before each send."""

import attrs
import pytest

from fireflyspindle.commands import explain
from fireflyspindle.core import api_keys
from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import held_calls
from fireflyspindle.core import published
from fireflyspindle.core import steps
from fireflyspindle.core import store_state
import published_driver as published_host
import test_relays

KEY, OTHER_KEY = "key-of-acme", "key-of-birch"
DIGEST = api_keys.digest(KEY)
LIMIT_US = 5_000_000
# Long enough for a call to outlive the proof of its key.
KEYED = published_host.rule(timeout_ms=60_000)
PUBLIC = published_host.rule("p", prefix="/open/", public=True)


def document(version, **keys):
    """Returns a configuration with the keys of each organisation."""
    return attrs.evolve(
        published_host.document(version, rules=(KEYED, PUBLIC)),
        organisations=tuple(
            published.Organisation(
                name, frozenset(map(api_keys.digest, own)), priority=3
            )
            for name, own in keys.items()
        ),
    )


BOTH = {"acme": (KEY,), "birch": (OTHER_KEY,)}


def keyed_host(make_published_host, **settings):
    """Returns a host with two organisations and a fresh proof."""
    host = make_published_host(revocation_limit_ms=5_000, **settings)
    host.configure(document(2, **BOTH))
    prove(host)
    return host


def prove(host):
    """Lets a read that the host sends now show that nothing is newer."""
    host.state.store_reads[
        store_state.Source.CONFIGURATION
    ].scheduled_us = host.now_us
    host.feed(events.ConfigurationRead, None, host.next_offset)


def refusal_of(host, call_id):
    """Returns the status and error that a call is refused with."""
    answer = host.gate_answer(call_id)
    return None if answer is None else (answer.status, answer.error)


def last_step(host):
    """Returns the inputs of the last step of the last ended call."""
    steps = host.effects_of(effects.CallFinished)[-1].steps
    return dict(steps.kept[-1].inputs)


def test_request_is_sent_with_the_name_and_without_the_key(
    make_published_host,
):
    host = keyed_host(make_published_host)
    send = host.arrive_and_send(1, key_digest=DIGEST)
    proven_us = host.state.organisations.proof.proven_us
    assert send.key.organisation == "acme"
    assert proven_us < send.key.valid_until_us < proven_us + LIMIT_US
    assert host.state.calls[1].tenant == "acme"
    assert host.state.calls[1].priority == 3


def test_public_route_needs_no_key_and_gets_no_name(make_published_host):
    host = keyed_host(make_published_host)
    # Another Authorization may hold a key in a form that is not recognised.
    assert host.arrive_and_send(1, path="/open/x").key == effects.KeyHandling()
    with_key = host.arrive_and_send(2, path="/open/x", key_digest=DIGEST)
    assert with_key.key == effects.KeyHandling()
    host.now_us += 2 * LIMIT_US
    assert host.arrive_and_send(3, path="/open/x") is not None


@pytest.mark.parametrize("stale_read_offset", [0, 1])
def test_older_version_of_a_reader_that_is_behind_renews_no_proof(
    make_published_host, stale_read_offset
):
    # Guards against a withdrawn key that works on because the newest version
    # can't be decoded and an older, decodable one is read after it.
    host = keyed_host(make_published_host)
    newest_offset = host.next_offset + 10
    proven_us = host.state.organisations.proof.proven_us
    host.feed(
        events.ConfigurationRead, None, newest_offset, newest_is_decodable=False
    )
    host.feed(
        events.ConfigurationRead,
        document(1, acme=KEY),
        stale_read_offset,
        newest_is_decodable=True,
    )
    host.now_us += 1_000
    host.feed(events.ConfigurationRead, None, newest_offset)
    assert host.state.organisations.proof.proven_us == proven_us


def test_store_is_not_read_all_the_time_while_the_newest_is_undecodable(
    make_published_host,
):
    # Guards against reads without a wait that follow each other at once.
    host = keyed_host(make_published_host, is_reader=True)
    host.feed(
        events.ConfigurationRead,
        None,
        host.next_offset + 1,
        newest_is_decodable=False,
    )
    host.next_offset += 1
    host.now_us += 2 * LIMIT_US
    host.feed(events.ConfigurationRead, None, host.next_offset)
    reads = [
        read
        for read in host.effects_of(effects.ReadStore)
        if read.source == store_state.Source.CONFIGURATION.value
    ]
    assert reads[-1].wait_ms > 0


def test_without_organisations_nothing_changes(make_published_host):
    host = make_published_host(revocation_limit_ms=5_000)
    host.now_us += 2 * LIMIT_US
    assert host.arrive_and_send(1, key_digest=DIGEST).key is None
    assert not host.effects_of(effects.AskConfigurationProof)


@pytest.mark.parametrize("digest", ["", api_keys.digest("unknown")])
def test_unknown_key_is_refused_for_good_by_a_host_that_is_up_to_date(
    make_published_host, digest
):
    host = keyed_host(make_published_host)
    host.call_arrives(1, key_digest=digest)
    assert refusal_of(host, 1) == (401, "unknown_key")
    assert last_step(host)["error"] == "unknown_key"


def test_unknown_key_is_not_refused_for_good_by_an_outdated_host(
    make_published_host,
):
    host = keyed_host(make_published_host)
    host.reads_go_on = False
    host.now_us += 2_500_000
    host.call_arrives(1, key_digest=api_keys.digest("new"))
    host.advance(held_calls.MAX_HOLD_US)
    assert refusal_of(host, 1) == (503, "configuration_outdated")


def test_known_key_is_served_up_to_the_limit_and_refused_after_it(
    make_published_host,
):
    host = keyed_host(make_published_host)
    host.now_us += LIMIT_US - 10_000
    assert host.arrive_and_send(1, key_digest=DIGEST) is not None
    host.now_us += 10_000
    host.call_arrives(2, key_digest=DIGEST)
    assert refusal_of(host, 2) == (503, "key_proof_outdated")
    assert host.gate_answer(2).retry_after_ms
    assert "ms ago" in last_step(host)["why"]


def test_explain_tells_why_a_request_with_a_key_was_refused(
    make_published_host,
):
    host = keyed_host(make_published_host)
    host.now_us += LIMIT_US
    host.call_arrives(1, key_digest=DIGEST)
    finished = host.effects_of(effects.CallFinished)[-1]
    fields = {
        "time": "t",
        "code": "call",
        "request_id": "q1",
        "outcome": finished.outcome.value,
        "total_us": 0,
        "attempts": 0,
        "steps": steps.as_data(finished.steps),
    }
    call = explain.LogLine("gate", fields)
    text = "\n".join(explain.format_call(call, [call]))
    assert "key_proof_outdated" in text
    assert "last known 5" in text
    assert KEY not in text and DIGEST not in text


def waiting_call(host, call_id=1, **fields):
    """Feeds a call that waits for the answers to its probes."""
    host.call_arrives(call_id, key_digest=DIGEST, **fields)
    assert host.state.calls[call_id].probe_round is not None


def revoke(host):
    """Puts a configuration without the key in force."""
    host.configure(document(3, birch=(OTHER_KEY,)))


def move_key(host):
    """Gives the key to the other organisation."""
    host.configure(document(3, birch=(OTHER_KEY, KEY)))


def end_all_organisations(host):
    """Puts a configuration without organisations in force."""
    host.configure(document(3))


def suspend(host):
    """Suspends the host until its proof is too old."""
    host.now_us += LIMIT_US


@pytest.mark.parametrize(
    ("change", "error"),
    [
        (revoke, "key_withdrawn"),
        (move_key, "key_withdrawn"),
        (end_all_organisations, "key_withdrawn"),
        (suspend, "key_proof_outdated"),
    ],
)
def test_call_that_waits_is_checked_again_before_it_is_sent(
    make_published_host, change, error
):
    host = keyed_host(make_published_host)
    waiting_call(host)
    change(host)
    host.answer_probes()
    assert refusal_of(host, 1) == (503, error)
    assert host.outcome(1) is effects.Outcome.NOT_RUN
    assert not host.sent and not host.state.calls
    assert last_step(host)["error"] == error


def test_call_without_a_key_is_not_sent_once_keys_are_needed(
    make_published_host,
):
    host = make_published_host(revocation_limit_ms=5_000)
    host.call_arrives(1)
    host.configure(document(2, **BOTH))
    host.answer_probes()
    assert refusal_of(host, 1) == (503, "key_withdrawn")


@pytest.mark.parametrize(
    ("end", "status"),
    [
        (lambda host: host.answer(1, 1, 503, not_run=True), 503),
        (
            lambda host: host.fail(
                1, 1, events.FailureReason.REFUSED, sent=False
            ),
            503,
        ),
        (
            lambda host: host.fail(
                1, 1, events.FailureReason.DISCONNECTED, sent=True
            ),
            502,
        ),
    ],
)
@pytest.mark.parametrize("change", [revoke, suspend])
def test_retry_is_not_sent_with_a_withdrawn_key(
    make_published_host, end, status, change
):
    # A 503 states that the request never ran, which is not known after a loss.
    host = keyed_host(make_published_host)
    host.arrive_and_send(1, key_digest=DIGEST)
    change(host)
    end(host)
    host.answer_probes()
    assert len(host.sent) == 1
    assert refusal_of(host, 1)[0] == status
    assert not host.state.calls


def test_answer_that_would_be_retried_is_passed_on_instead(
    make_published_host,
):
    host = keyed_host(make_published_host)
    host.arrive_and_send(1, key_digest=DIGEST)
    revoke(host)
    host.answer(1, 1, 500)
    assert len(host.sent) == 1
    assert len(host.effects_of(effects.ForwardAnswer)) == 1


def test_hedge_is_not_sent_with_a_withdrawn_key(make_published_host):
    host = keyed_host(make_published_host)
    host.arrive_and_send(1, key_digest=DIGEST)
    revoke(host)
    for _ in range(20):
        host.advance(30_000)
        host.answer_probes()
    assert len(host.sent) == 1
    host.answer(1, 1)
    assert host.outcome(1) is effects.Outcome.COMPLETE


def test_relayed_call_states_the_digest_and_is_checked_before(
    make_published_host,
):
    host = test_relays.cut_off_host(
        make_published_host, revocation_limit_ms=5_000
    )
    host.configure(document(2, **BOTH))
    prove(host)
    send = test_relays.relay(host, 1, key_digest=DIGEST)
    assert send.key.key_digest == DIGEST
    revoke(host)
    host.answer(1, 1, 503, not_run=True, not_carried=True)
    assert len(test_relays.sends_of(host, 1)) == 1
    assert refusal_of(host, 1)[0] == 503


RELAYED = {"relayed": True, "relay_service": "s", "relay_keyed": True}


def test_helper_sets_the_name_by_its_own_configuration(make_published_host):
    host = keyed_host(make_published_host)
    send = host.arrive_and_send(1, key_digest=DIGEST, **RELAYED)
    assert send.key.organisation == "acme"


def old_proof(host):
    host.now_us += LIMIT_US


@pytest.mark.parametrize(
    ("harm", "refusal"),
    [
        (old_proof, (503, "key_proof_outdated")),
        (revoke, (421, "key_differs")),
        (end_all_organisations, (421, "key_differs")),
    ],
)
def test_helper_without_key_or_proof_states_that_it_did_not_carry_the_call(
    make_published_host, harm, refusal
):
    host = keyed_host(make_published_host)
    harm(host)
    host.call_arrives(1, key_digest=DIGEST, **RELAYED)
    assert refusal_of(host, 1) == refusal
    assert host.gate_answer(1).not_carried


@pytest.mark.parametrize("change", [revoke, suspend])
def test_helper_checks_again_before_it_sends(make_published_host, change):
    host = keyed_host(make_published_host)
    host.call_arrives(1, key_digest=DIGEST, deadline_ms=60_000, **RELAYED)
    change(host)
    host.answer_probes()
    assert not host.sent
    assert host.gate_answer(1).status == 503
    assert host.gate_answer(1).not_carried


def test_helper_does_not_deny_an_attempt_that_may_have_run(
    make_published_host,
):
    # Guards against a second run by the host that relayed the call.
    host = keyed_host(make_published_host)
    host.arrive_and_send(1, key_digest=DIGEST, deadline_ms=60_000, **RELAYED)
    host.state.calls[1].may_have_run = True
    revoke(host)
    host.fail(1, 1, events.FailureReason.REFUSED, sent=False)
    assert host.gate_answer(1).status == 502
    assert not host.gate_answer(1).not_carried
