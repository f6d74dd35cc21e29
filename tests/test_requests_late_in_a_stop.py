"""Requests that reach a stopping gate host, or wait at it, late in its stop.

They were passed on whatever time was left, and cut at the end of the stop.
"""

import asyncio

import attrs
import pytest

from fireflyspindle import settings as settings_lib
from fireflyspindle import testing
from fireflyspindle.adapters import data_path
from fireflyspindle.core import answer_times
from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import helper_list
from fireflyspindle.core.hedges import hedge_state
from fireflyspindle.core.quotas import messages
from fireflyspindle.platform import header_profile
from fireflyspindle.platform import host as host_lib
from fireflyspindle.platform import settings as host_settings
import platform_driver
import published_driver
import test_hedge_limit
import test_quotas
import test_relays
import wire

COMPLETE = effects.Outcome.COMPLETE
NOT_RUN = effects.Outcome.NOT_RUN
UNKNOWN = effects.Outcome.UNKNOWN
SECOND_US = 1_000_000
LIMIT_US = 5_600_000
DRAIN = {"drain_grace_ms": 5_550, "drain_limit_ms": LIMIT_US // 1000}
# Mean time of the work, and the longest answers that were seen as a multiple of
# it. With the way of the answer a call of WORK_US needs 2.3 s.
WORK_US = SECOND_US
LONGEST_FACTOR = 2.2
MAX_NEEDED_US = 2_500_000
REPEATABLE = pytest.mark.parametrize("repeatable", [True, False])


def slow_rule(repeatable=True, **fields):
    """Returns a rule whose requests may take longer than a stop."""
    return published_driver.rule(
        repeatable=repeatable,
        **{"timeout_ms": 12_000, "latency_objective_ms": 10_000, **fields},
    )


@pytest.fixture
def make_stopping_host(make_published_host):
    """Returns a factory of hosts that begin their planned stop."""

    def make(repeatable=True, work_us=WORK_US, stopped=True, **fields):
        host = make_published_host(
            **{
                "rules": [slow_rule(repeatable)],
                "drain": DRAIN,
                **fields,
            }
        )
        if work_us:
            host.service().averages.processing_time_us = work_us
            set_answer_times(host.service(), work_us)
        if stopped:
            stop(host)
        return host

    return make


def set_answer_times(service, work_us, route="r"):
    """Lets a service have given answers, the longest of LONGEST_FACTOR."""
    service.answer_times[route] = answer_times.AnswerTimes(
        answers=answer_times.MIN_ANSWERS,
        longest_us=int(LONGEST_FACTOR * work_us),
    )


def stop(host):
    """Requests a planned stop."""
    host.feed(events.StopRequested)


def sends_of(host, call_id):
    """Returns the sends of a call."""
    return [send for send in host.sent if send.call_id == call_id]


def assert_refused(host, call_id, outcome=NOT_RUN):
    """Checks that a call was told that the host stops, once and unsent."""
    answers = [
        answer
        for answer in host.effects_of(effects.AnswerCaller)
        if answer.call_id == call_id
    ]
    assert [(each.error, each.outcome) for each in answers] == [
        ("stopping", outcome)
    ]
    assert answers[0].status == (503 if outcome is NOT_RUN else 502)


@REPEATABLE
def test_call_that_can_not_be_answered_before_the_end_is_refused_at_once(
    make_stopping_host, repeatable
):
    host = make_stopping_host(repeatable)
    host.advance(LIMIT_US - MAX_NEEDED_US)
    assert host.arrive_and_send(1)
    host.advance(MAX_NEEDED_US - 2 * SECOND_US)
    host.call_arrives(2)
    assert_refused(host, 2)
    assert not host.state.probes
    assert not sends_of(host, 2)
    # The call that was sent in time keeps its attempt.
    host.answer(1, 1)
    assert host.outcome(1) is COMPLETE


def test_call_whose_deadline_lies_before_the_end_is_sent(make_stopping_host):
    # The host ends it by its deadline, whatever the target does.
    host = make_stopping_host(work_us=30 * SECOND_US)
    assert host.arrive_and_send(1, deadline_ms=5_500)
    host.call_arrives(2, deadline_ms=5_700)
    assert_refused(host, 2)


def test_call_is_refused_while_the_time_of_answers_is_not_known(
    make_stopping_host,
):
    host = make_stopping_host(work_us=0)
    assert host.arrive_and_send(1, deadline_ms=5_500)
    host.call_arrives(2)
    assert_refused(host, 2)


def test_call_is_not_sent_to_a_target_that_is_too_slow_for_the_time_left(
    make_stopping_host,
):
    # A call that misses its soft deadline is sent to slow targets first.
    rule = slow_rule(latency_objective_ms=500)
    host = make_stopping_host(targets=2, rules=[rule])
    loads = published_driver.slow_loads()
    host.call_arrives(1)
    published_driver.answer_probes(host, loads, SECOND_US)
    assert not host.sent
    loads["10.0.0.1:80"] = published_driver.load()
    published_driver.answer_probes(host, loads, 100_000)
    assert [send.target for send in host.sent] == ["10.0.0.1:80"]


@pytest.mark.parametrize("arrives", ["before", "after"])
@REPEATABLE
def test_call_that_waits_for_a_slot_is_refused_at_its_latest_start(
    make_stopping_host, arrives, repeatable
):
    host = make_stopping_host(repeatable, stopped=False)
    full = published_driver.slow_loads(in_flight=4, slowdown=1.0)
    if arrives == "after":
        stop(host)
    host.call_arrives(1)
    published_driver.answer_probes(host, full, 60_000)
    assert list(host.service().waiting_calls) == [1]
    waited_us = 60_000
    if arrives == "before":
        stop(host)
        waited_us = 0
    published_driver.answer_probes(
        host, full, LIMIT_US - MAX_NEEDED_US - waited_us - 20_000
    )
    assert host.gate_answer(1) is None
    published_driver.answer_probes(host, full, 500_000)
    assert_refused(host, 1)
    # No slot that becomes free later is used.
    published_driver.answer_probes(host, None, 500_000)
    assert not host.sent


def test_calls_that_wait_are_refused_once_a_stop_leaves_them_no_time(
    make_stopping_host,
):
    host = make_stopping_host(work_us=3 * SECOND_US, stopped=False)
    host.call_arrives(1)
    host.call_arrives(2, deadline_ms=5_500)
    full = published_driver.slow_loads(in_flight=4, slowdown=1.0)
    published_driver.answer_probes(host, full, 60_000)
    stop(host)
    assert_refused(host, 1)
    assert list(host.service().waiting_calls) == [2]


def test_call_is_refused_when_its_latest_start_passes_in_a_probe_round(
    make_stopping_host,
):
    host = make_stopping_host()
    host.advance(LIMIT_US - 2_310_000)
    host.call_arrives(1)
    assert host.state.probes
    host.advance(20_000)
    host.answer_probes()
    assert not host.sent
    assert_refused(host, 1)


def test_waiting_call_is_refused_when_answers_take_longer_than_expected(
    make_stopping_host,
):
    host = make_stopping_host(work_us=100_000)
    host.call_arrives(1)
    full = published_driver.slow_loads(in_flight=4, slowdown=1.0)
    published_driver.answer_probes(host, full, 60_000)
    set_answer_times(host.service(), 3 * SECOND_US)
    published_driver.answer_probes(host, full, 200_000)
    assert_refused(host, 1)


@REPEATABLE
def test_call_that_waits_for_a_permit_is_refused_at_its_latest_start(
    make_limited_host, repeatable
):
    host = make_limited_host(drain=DRAIN)
    host.configure(
        published_driver.with_fields(
            published_driver.document(3, [slow_rule(repeatable)]),
            organisations=host.state.organisations.by_name.values(),
        )
    )
    set_answer_times(host.service(), WORK_US)
    stop(host)
    host.advance(LIMIT_US - 2_350_000)
    test_quotas.arrive(host, 1)
    assert host.effects_of(messages.RequestQuotaPermits)
    host.advance(80_000)
    assert_refused(host, 1)
    test_quotas.reply(host, granted=2)
    assert not host.sent


make_limited_host = test_quotas.make_limited_host
make_hedging_host = test_hedge_limit.make_hedging_host


@pytest.mark.parametrize(
    ("repeatable", "ran", "outcome"),
    [(True, False, NOT_RUN), (True, True, UNKNOWN), (False, False, NOT_RUN)],
)
def test_failed_call_is_not_sent_again_late_in_a_stop(
    make_stopping_host, repeatable, ran, outcome
):
    host = make_stopping_host(repeatable)
    host.arrive_and_send(1)
    host.advance(LIMIT_US - 2 * SECOND_US)
    reason = events.FailureReason.DISCONNECTED
    host.fail(1, 1, reason, sent=ran)
    host.answer_probes()
    assert len(sends_of(host, 1)) == 1
    assert host.outcome(1) is outcome
    assert host.gate_answer(1).status == (503 if outcome is NOT_RUN else 502)


def test_failed_call_is_sent_again_early_in_a_stop(make_stopping_host):
    host = make_stopping_host()
    host.arrive_and_send(1)
    host.fail(1, 1, events.FailureReason.DISCONNECTED, sent=True)
    host.answer_probes()
    assert len(sends_of(host, 1)) == 2


def test_repeat_that_waits_is_told_that_the_call_may_have_run(
    make_stopping_host,
):
    host = make_stopping_host()
    host.arrive_and_send(1)
    test_hedge_limit.forget_reports(host)
    host.fail(1, 1, events.FailureReason.DISCONNECTED, sent=True)
    full = published_driver.slow_loads(in_flight=4, slowdown=1.0)
    published_driver.answer_probes(host, full, LIMIT_US - 2 * SECOND_US)
    assert len(sends_of(host, 1)) == 1
    assert_refused(host, 1, UNKNOWN)


def test_failure_of_a_target_is_passed_on_late_in_a_stop(make_stopping_host):
    # The call must not lose its answer to a repeat that can't be sent.
    host = make_stopping_host(targets=2)
    host.advance(LIMIT_US - 2_400_000)
    host.arrive_and_send(1)
    host.advance(200_000)
    host.answer(1, 1, status=500)
    forwarded = host.effects_of(effects.ForwardAnswer)
    assert [each.attempt for each in forwarded] == [1]


@pytest.mark.parametrize("left_us", [2_100_000, 5 * SECOND_US])
def test_hedge_is_sent_only_if_it_can_be_answered_before_the_end(
    make_stopping_host, left_us
):
    host = make_stopping_host(targets=6)
    host.advance(LIMIT_US - left_us - 1_500_000)
    host.arrive_and_send(1)
    host.service().resend_budget.earn(host.now_us)
    host.advance(1_500_000)
    while host.state.probes:
        host.answer_probes()
    expected = 2 if left_us > MAX_NEEDED_US else 1
    assert len(sends_of(host, 1)) == expected
    host.answer(1, 1)
    assert host.outcome(1) is COMPLETE


def test_hedge_within_the_limit_of_an_operator_is_not_sent_late_in_a_stop(
    make_hedging_host,
):
    host = make_hedging_host(rules=[slow_rule()], drain=DRAIN)
    set_answer_times(host.service(), 100_000)
    stop(host)
    host.advance(LIMIT_US - 380_000)
    host.arrive_and_send(1)
    assert len(sends_of(host, 1)) == 1
    test_hedge_limit.let_become_late(host)
    assert len(sends_of(host, 1)) == 1
    refused = host.state.hedges.refused
    assert refused == {hedge_state.Cause.STOPPING: 1}
    host.answer(1, 1)
    assert host.outcome(1) is COMPLETE


def test_call_is_not_relayed_late_in_a_stop(make_published_host):
    host = test_relays.cut_off_host(
        make_published_host, rules=[slow_rule()], drain=DRAIN
    )
    set_answer_times(host.service(), WORK_US)
    stop(host)
    test_relays.relay(host, 1)
    host.advance(LIMIT_US - 2 * SECOND_US)
    host.feed(events.HelpersListed, (test_relays.helper(1),))
    host.call_arrives(2)
    assert not sends_of(host, 2)
    assert_refused(host, 2)
    # Nor is it passed on to the next helper.
    host.answer(1, 1, 503, not_run=True, not_carried=True)
    assert len(sends_of(host, 1)) == 1
    assert host.outcome(1) is NOT_RUN


def test_call_that_waits_for_helpers_is_refused_at_its_latest_start(
    make_stopping_host,
):
    host = make_stopping_host(relay_address=test_relays.OWN_ADDRESS)
    host.call_arrives(1)
    full = published_driver.slow_loads(in_flight=4, slowdown=1.0)
    published_driver.answer_probes(host, full, 60_000)
    host.state.reachability.lost_us = host.now_us
    assert list(host.service().waiting_calls) == [1]
    assert not helper_list.is_known(host.state)
    published_driver.answer_probes(host, full, LIMIT_US - 2 * SECOND_US)
    assert_refused(host, 1)
    host.feed(events.HelpersListed, (test_relays.helper(1),))
    assert not host.sent


def test_host_that_relayed_a_call_is_told_that_it_was_not_carried(
    make_stopping_host,
):
    # It sends the call to another host then.
    host = make_stopping_host()
    host.advance(LIMIT_US - 2 * SECOND_US)
    host.call_arrives(1, relayed=True)
    assert_refused(host, 1)
    assert host.gate_answer(1).not_carried


def own_host(make_host, latency_us=SECOND_US):
    """Returns a stopping host of the project's own interface."""
    host = make_host(**DRAIN)
    set_answer_times(host.state.services["s"], latency_us, route="")
    stop(host)
    return host


@REPEATABLE
def test_late_call_of_the_own_interface_is_refused_at_once(
    make_host, repeatable
):
    host = own_host(make_host)
    assert host.call_arrives(1, repeatable=repeatable)
    host.advance(LIMIT_US - 2 * SECOND_US)
    assert not host.call_arrives(2, repeatable=repeatable)
    assert_refused(host, 2)
    assert host.call_arrives(3, repeatable=repeatable, deadline_ms=1_900)


@REPEATABLE
def test_queued_call_is_refused_at_its_latest_start(make_host, repeatable):
    host = own_host(make_host)
    service = host.state.services["s"]
    service.capacity.refresh_at_us = 1 << 60
    host.call_arrives(1, repeatable=repeatable)
    assert 1 in service.queue
    host.advance(LIMIT_US - 3 * SECOND_US)
    assert host.outcome(1) is None
    host.advance(SECOND_US)
    assert_refused(host, 1)
    assert not len(service.queue)


@pytest.mark.parametrize("other_copies", [True, False])
def test_late_call_with_a_key_is_refused_without_a_claim(
    make_host, other_copies
):
    # "Not run" also covers the other copies of the request.
    host = own_host(make_host)
    host.advance(LIMIT_US - 2 * SECOND_US)
    host.state.claims.index.complete_after_ms = 0
    host.call_arrives(
        1,
        repeatable=False,
        tenant="t",
        idempotency_key="1000-a",
        key_issued_ms=1_000,
        body_digest="d",
        wall_ms=1_000,
        other_copies=other_copies,
    )
    assert not host.sent
    assert not host.state.claims.pending
    assert host.outcome(1) is (UNKNOWN if other_copies else NOT_RUN)


async def platform_drain_ms(grace_s):
    """Returns the grace time and the limit of a host of the platform."""
    settings = host_settings.HostSettings(
        "edge-1",
        "a",
        "127.0.0.1:1",
        "127.0.0.1:2",
        "127.0.0.1:3",
        bounds=host_settings.Bounds(grace_s=grace_s),
    )
    core = host_lib.PlatformHost(settings).state.settings
    return core.drain_grace_ms, core.drain_limit_ms


@pytest.mark.parametrize("grace_s", [0, 0.1, 0.3, 0.4, 0.5, 1, 3, 6, 10])
async def test_grace_time_is_at_most_half_of_the_limit(grace_s):
    grace_ms, limit_ms = await platform_drain_ms(grace_s)
    assert 0 < grace_ms <= limit_ms / 2
    assert limit_ms <= max(grace_s * 1000, 2)


async def test_grace_time_of_the_usual_settings_is_unchanged():
    assert await platform_drain_ms(6) == (2_800, 5_600)
    assert await platform_drain_ms(10) == (2_800, 9_600)


SETTINGS = """
[gate]
host_id = "a"
failure_domain = "a"
callers_address = "127.0.0.1:1"
control_address = "127.0.0.1:2"
[platform]
log_address = "127.0.0.1:3"
host_list_address = "127.0.0.1:4"
[limits]
"""


@pytest.mark.parametrize(
    ("limits", "most_ms"),
    [
        ("drain_grace_ms = 2001\ndrain_limit_ms = 2000", 2_000),
        ("drain_limit_ms = 4999", 4_999),
        ("drain_grace_ms = 60001", 60_000),
    ],
)
def test_grace_time_beyond_the_limit_is_refused(limits, most_ms):
    [error] = settings_lib.parse(SETTINGS + limits).unwrap_err()
    assert error.startswith("limits.drain_grace_ms: found")
    assert f"at most {most_ms}" in error
    assert "limits.drain_limit_ms" in error


@pytest.mark.parametrize("limits", ["", "drain_limit_ms = 5000"])
def test_grace_time_up_to_the_limit_is_accepted(limits):
    assert settings_lib.parse(SETTINGS + limits).is_ok()


@attrs.define
class Result:
    """What the caller of one request saw.

    Attributes:
        name: Id of the request.
        status: Status of the answer; 0 if its connection was refused, -1 if it
            ended without an answer.
        waited_s: Time to the answer.
    """

    name: str
    status: int
    waited_s: float


async def send_once(address, name):
    """Sends a request that may run once, with a deadline of 12 s."""
    path = platform_driver.STRICT + name
    request = platform_driver.request(path, method="POST", name=name)
    request = request.replace(b": 3000\r\n", b": 12000\r\n")
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    try:
        caller = await testing.connect(address)
    except ConnectionRefusedError:
        return Result(name, 0, 0.0)
    async with asyncio.timeout(wire.WAIT_S):
        answer = await caller.ask(request)
    caller.close()
    status = int(answer.first_line.split()[1]) if answer is not None else -1
    return Result(name, status, loop.time() - started_s)


async def test_requests_during_a_stop_are_served_or_refused_at_once():
    # Those that came late were passed on and ended with 502.
    async def work(request, writer):
        await asyncio.sleep(0.8)
        writer.write(platform_driver.answer(request))

    behaviours = [
        platform_driver.server_behaviour(work, f"i-{n}") for n in (0, 1, 2)
    ]
    async with platform_driver.running(
        *behaviours, grace_s=3, timeout_ms=12_000
    ) as platform:
        address = platform.host.data_path.server.address
        first = await send_once(address, "first")
        [service] = platform.host.state.services.values()
        service.averages.processing_time_us = 800_000
        service.averages.slowdown = 1.0
        set_answer_times(service, 800_000, route="r-2")
        platform.host.request_stop()
        sending = []
        for number in range(28):
            sending.append(
                asyncio.create_task(send_once(address, f"q{number}"))
            )
            await asyncio.sleep(0.1)
        results = await asyncio.gather(*sending)
    ids = [
        received.values(header_profile.REQUEST_ID)[0].decode()
        for received in platform.requests
    ]
    assert len(ids) == len(set(ids))
    assert first.status == 200
    assert {each.status for each in results} == {200, 503, 0}
    assert {each.name for each in results if each.status == 200} == {*ids} - {
        "first"
    }
    refused = [each for each in results if each.status == 503]
    # Held until the end of the stop, each would wait for 1.3 s at the least.
    assert max(each.waited_s for each in refused) < 1.0


async def test_request_whose_body_ends_after_the_last_call_is_answered(
    monkeypatch,
):
    # The host waits for the body; then it closed the connection of the call
    # without an answer after a fixed time.
    monkeypatch.setattr(data_path, "SETTLE_LIMIT_S", 0.3)
    reply = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

    async def work(_request, writer):
        await asyncio.sleep(0.6)
        writer.write(reply)

    async with wire.running(work) as running:
        caller = await running.caller()
        head, _, _ = wire.request("POST", body=b"body").rpartition(b"body")
        caller.writer.write(head + b"bo")
        await wire.until(lambda: running.gate.data_path.server.receiving)
        running.gate.request_stop()
        closed = asyncio.create_task(running.gate.wait_exit())
        await asyncio.sleep(0.1)
        assert not closed.done()
        async with asyncio.timeout(wire.WAIT_S):
            answer = await caller.ask(b"dy")
            await closed
        caller.close()
    assert answer is not None
    assert answer.body == b"ok"
    assert len(running.targets[0].requests) == 1
