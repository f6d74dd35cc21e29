"""Permits at one host: stock, waiting calls, refusals and the send check."""

import pytest

from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import published
from fireflyspindle.core import records
from fireflyspindle.core import store_state
from fireflyspindle.core.organisations import authorisation
from fireflyspindle.core.quotas import admission
from fireflyspindle.core.quotas import granter
from fireflyspindle.core.quotas import messages
from fireflyspindle.core.quotas import permits
from fireflyspindle.core.quotas import terms
import published_driver

TOLERANCE = store_state.QuotaTolerance(5_000, 0.1, 20.0)
READERS = ("10.0.1.1:900", "10.0.1.2:900")
VALID_MS = 300


@pytest.fixture
def make_limited_host(make_published_host):
    """Returns a factory of hosts with an organisation that has a quota."""

    def make(rate=20.0, priority=None, **store):
        store = {"other_reader_addresses": READERS, **store}
        host = make_published_host(quota_tolerance=TOLERANCE, **store)
        host.state.configuration.tenants["acme"] = records.Tenant()
        set_quota(host, 2, rate, priority=priority)
        return host

    return make


def set_quota(host, version, rate, priority=None):
    """Feeds a configuration with one organisation."""
    organisation = published.Organisation(
        "acme", frozenset({"digest"}), priority, rate, rate
    )
    host.configure(
        published_driver.with_fields(
            published_driver.document(version), organisations=(organisation,)
        )
    )


def arrive(host, call_id, **fields):
    """Feeds a call of the organisation."""
    return host.call_arrives(
        call_id, tenant="acme", key_digest="digest", **fields
    )


def requests(host):
    """Returns all requests to readers so far."""
    return host.effects_of(messages.RequestQuotaPermits)


def reply(host, granted=0, retry_after_ms=None, valid_ms=VALID_MS):
    """Answers the latest request to a reader."""
    request = requests(host)[-1]
    refused = {} if retry_after_ms is None else {"acme": retry_after_ms}
    grant = messages.Grant({"acme": granted}, {"acme": valid_ms}, refused)
    host.feed(
        messages.QuotaPermitsReceived,
        request.reader,
        request.request_id,
        grant,
    )


def fail(host, **fields):
    """Lets the latest request to a reader fail."""
    request = requests(host)[-1]
    host.feed(
        messages.QuotaRequestFailed,
        request.reader,
        request.request_id,
        "time-out",
        **fields,
    )


def held(host):
    """Returns the number of permits that a host holds."""
    return len(host.state.quotas.limited["acme"].permits)


def test_call_waits_for_its_permit_and_is_sent(make_limited_host):
    host = make_limited_host()
    arrive(host, 1)
    assert not host.state.probes
    reply(host, granted=1)
    host.answer_probes()
    assert [sent.call_id for sent in host.sent] == [1]


def test_wants_that_arise_meanwhile_go_in_one_request(make_limited_host):
    host = make_limited_host()
    for call_id in range(1, 6):
        arrive(host, call_id)
    assert [request.wanted for request in requests(host)] == [{"acme": 1}]
    reply(host, granted=1)
    assert requests(host)[-1].wanted == {"acme": 4}
    assert len(requests(host)) == 2


def test_call_is_refused_only_when_every_reader_refuses(make_limited_host):
    host = make_limited_host()
    arrive(host, 1)
    reply(host, retry_after_ms=900)
    assert host.gate_answer(1) is None
    assert len({request.reader for request in requests(host)}) == 2
    reply(host, retry_after_ms=700)
    answer = host.gate_answer(1)
    assert (answer.status, answer.error) == (429, "quota_exceeded")
    assert answer.outcome is effects.Outcome.NOT_RUN
    # The earlier of the two times, spread by a tenth of a second.
    assert 700 <= answer.retry_after_ms <= 810


def test_call_waits_for_a_permit_that_is_due_soon(make_limited_host):
    host = make_limited_host()
    arrive(host, 1)
    reply(host, retry_after_ms=50)
    reply(host, retry_after_ms=60)
    asked = len(requests(host))
    host.advance(51_000)
    assert len(requests(host)) == asked + 1
    reply(host, granted=1)
    assert host.gate_answer(1) is None and host.state.probes


@pytest.mark.parametrize("deadline_ms", [100, 2_000])
def test_wait_ends_in_time_without_an_answer(make_limited_host, deadline_ms):
    host = make_limited_host()
    arrive(host, 1, deadline_ms=deadline_ms)
    host.advance(min(deadline_ms * 1000, admission.MAX_WAIT_US))
    assert host.gate_answer(1).status == 503
    assert not host.state.calls
    reply(host, granted=1)
    assert held(host) == 1


def test_caller_that_leaves_ends_the_wait(make_limited_host):
    host = make_limited_host()
    arrive(host, 1)
    host.feed(events.CallerDisconnected, 1)
    assert not host.state.calls
    reply(host, granted=1)
    assert not host.state.probes and held(host) == 1


def test_validity_counts_from_sending_the_request(make_limited_host):
    host = make_limited_host()
    arrive(host, 1)
    host.advance(100_000)
    reply(host, granted=1, valid_ms=90)
    assert host.state.quotas.counters["late"] == 1
    assert not host.state.probes


def test_permit_of_a_call_that_ends_unsent_is_used_again(make_limited_host):
    host = make_limited_host()
    arrive(host, 1)
    reply(host, granted=1)
    host.feed(events.CallerDisconnected, 1)
    arrive(host, 2)
    assert len(requests(host)) == 1
    host.answer_probes()
    assert host.sent[-1].call_id == 2


def test_permits_in_stock_expire_while_a_host_is_suspended(make_limited_host):
    host = make_limited_host()
    arrive(host, 1)
    reply(host, granted=1)
    host.feed(events.CallerDisconnected, 1)
    assert held(host) == 1
    host.now_us += VALID_MS * 1000
    arrive(host, 2)
    assert len(requests(host)) == 2
    assert list(host.state.quotas.limited["acme"].waiting) == [2]


def test_call_is_not_sent_with_an_expired_permit(make_limited_host):
    # A host that is suspended resumes with an admitted call.
    host = make_limited_host()
    arrive(host, 1)
    reply(host, granted=1)
    host.now_us += VALID_MS * 1000 + 1
    host.answer_probes()
    assert not host.sent
    # The time limit of the first wait does not end the second one.
    host.feed(events.TimerFired)
    assert 1 in host.state.calls
    reply(host, granted=1)
    while host.state.probes:
        host.answer_probes()
    assert [sent.call_id for sent in host.sent] == [1]


def test_retry_takes_no_further_permit(make_limited_host):
    host = make_limited_host()
    arrive(host, 1)
    reply(host, granted=1)
    host.answer_probes()
    host.now_us += VALID_MS * 1000 + 1
    host.fail(1, 1, events.FailureReason.DISCONNECTED, sent=True)
    while host.state.probes:
        host.answer_probes()
    assert len(host.sent) == 2 and len(requests(host)) == 1


def test_permit_that_expires_while_a_call_connects_is_not_used(
    make_limited_host,
):
    # Guards against requests of many hosts that leave together after a stall.
    host = make_limited_host()
    arrive(host, 1)
    reply(host, granted=1)
    host.answer_probes()
    call = host.state.calls[1]
    late_us = host.now_us + VALID_MS * 1000 + 1
    assert permits.may_send_attempt(host.state, call, host.now_us)
    assert not permits.may_send_attempt(host.state, call, late_us)
    call.may_have_run = True
    assert permits.may_send_attempt(host.state, call, late_us)


def test_relayed_call_needs_no_permit(make_limited_host):
    host = make_limited_host()
    arrive(host, 1, relayed=True)
    assert host.state.probes and not requests(host)


def test_hedge_takes_only_a_permit_that_is_free(make_limited_host):
    host = make_limited_host()
    arrive(host, 1)
    call = host.state.calls[1]
    assert not permits.take_for_hedge(host.state, call)
    reply(host, granted=1)
    assert not permits.take_for_hedge(host.state, call)
    quota = host.state.quotas.limited["acme"]
    permits.add(host.state, quota, 1, host.now_us + 1_000)
    assert permits.take_for_hedge(host.state, call)
    assert not permits.take_for_hedge(host.state, call)


def test_busy_organisation_gets_permits_ahead(make_limited_host):
    host = make_limited_host(rate=200.0)
    for call_id in range(1, 401):
        arrive(host, call_id)
        host.advance(5_000)
        request = requests(host)[-1]
        reply(host, sum(request.wanted.values()) + request.ahead.get("acme", 0))
    # One message for each call would show that none is fetched ahead.
    assert len(requests(host)) < 200


def test_no_reader_answers(make_limited_host):
    host = make_limited_host()
    arrive(host, 1)
    fail(host)
    fail(host)
    answer = host.gate_answer(1)
    assert (answer.status, answer.error) == (503, "quota_unavailable")
    asked = len(requests(host))
    arrive(host, 2)
    assert len(requests(host)) == asked
    lost = [
        line
        for line in host.effects_of(effects.WriteLogLine)
        if line.code == "quota_reader_lost"
    ]
    assert len(lost) == 2


def test_reader_serves_itself_without_a_message(make_limited_host):
    host = make_limited_host(is_reader=True, first_start=True)
    arrive(host, 1)
    assert host.state.probes and not requests(host)


@pytest.mark.parametrize("is_reader", [False, True])
def test_only_readers_grant(make_limited_host, is_reader):
    host = make_limited_host(is_reader=is_reader, first_start=True)
    host.feed(messages.QuotaPermitsRequested, 7, {"acme": 50, "other": 1})
    (answer,) = host.effects_of(messages.AnswerQuotaRequest)
    if not is_reader:
        assert answer.grant is None
        return
    # A third of the burst and of the depth, in whole permits.
    divided = terms.divide(20.0, 20.0, TOLERANCE)
    assert answer.grant.granted == {
        "acme": int((20.0 + divided.depth_requests) / 3)
    }
    assert answer.grant.retry_after_ms["acme"] > 0


def test_bucket_is_empty_but_for_one_permit_at_a_later_start(make_limited_host):
    host = make_limited_host(is_reader=True)
    grant = granter.grant_permits(host.state, {"acme": 9}, {})
    assert grant.granted == {"acme": 1}


def test_waiting_call_goes_on_when_its_limit_is_removed(make_limited_host):
    host = make_limited_host()
    arrive(host, 1)
    set_quota(host, 3, 0.0)
    assert host.state.probes


@pytest.mark.parametrize(("priority", "expected"), [(None, 4), (1, 1)])
def test_priority_of_the_organisation_replaces_the_routes(
    make_limited_host, priority, expected
):
    # The organisation of a call comes from its key, as `Destination` states.
    host = make_limited_host(priority=priority)
    route = published_driver.rule(priority=4)
    assert authorisation.priority(host.state, "acme", route) == expected


@pytest.mark.parametrize("burst", [0.0, 1.0, 30.0, 5_000.0])
@pytest.mark.parametrize("rate", [0.01, 0.5, 3.0, 20.0, 300.0, 20_000.0])
def test_terms_fit_the_tolerance(rate, burst):
    divided = terms.divide(rate, burst, TOLERANCE)
    window_s = TOLERANCE.window_ms / 1000
    valid_s = divided.valid_us / 1e6
    total = (
        (divided.refill_per_s - rate) * window_s
        + terms.older_grants(divided.refill_per_s, valid_s)
        + terms.RESTART_REQUESTS
        + divided.depth_requests
        + divided.fallback_requests
    )
    assert total <= terms.excess_requests(rate, burst, TOLERANCE) + 1e-6
    assert divided.fallback_per_s <= 0.4 * rate
    span_s = window_s + divided.fallback_valid_us / 1e6
    mean = terms.FALLBACK_HOSTS_SHARE * divided.fallback_per_s * span_s
    assert mean < divided.fallback_requests
    # Each of three readers must hold a whole permit.
    assert divided.depth_requests >= 3
    assert valid_s >= 0.1
