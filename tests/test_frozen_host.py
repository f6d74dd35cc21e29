"""A gate host that was frozen for seconds and goes on with old work."""

import pytest

from fireflyspindle.core import effects
from fireflyspindle.core import events
import platform_driver
import published_driver as published_host

FROZEN_US = 5_000_000
ADDRESS = "10.0.0.0:80"


def freeze(host):
    """Lets time pass during which the host handles no event or timer."""
    host.now_us += FROZEN_US


def fire_timers(host):
    """Fires the timers that expired meanwhile, at the time it is now."""
    host.feed(events.TimerFired)


@pytest.fixture(params=["answers first", "timers first"])
def wake(request):
    """Returns a function that wakes a host in one of two orders.

    After a freeze it is open whether the event loop handles sockets or timers
    first.
    """

    def run(host, handle_sockets):
        if request.param == "timers first":
            fire_timers(host)
            handle_sockets()
            return
        handle_sockets()
        fire_timers(host)

    return run


@pytest.mark.parametrize("repeatable", [False, True])
def test_call_in_a_probe_round_is_not_sent_past_its_deadline(
    make_published_host, wake, repeatable
):
    rule = published_host.rule(repeatable=repeatable)
    host = make_published_host(targets=4, rules=[rule])
    host.call_arrives(1)
    freeze(host)
    wake(host, host.answer_probes)
    assert host.sent == []
    assert host.gate_answer(1).status == 503
    assert host.gate_answer(1).outcome is effects.Outcome.NOT_RUN


@pytest.mark.parametrize("repeatable", [False, True])
def test_waiting_call_is_not_sent_past_its_deadline(
    make_published_host, wake, repeatable
):
    rule = published_host.rule(repeatable=repeatable)
    host = make_published_host(targets=1, rules=[rule])
    host.arrive_and_send(1)
    host.advance(100_000)
    host.call_arrives(2)
    host.answer_probes({ADDRESS: published_host.load(in_flight=4)})
    assert 2 in host.service().waiting_calls
    freeze(host)

    def receive_answer():
        host.answer(1, 1, report=published_host.load())
        host.finish(1)

    wake(host, receive_answer)
    published_host.answer_probes(host, None, 60_000)
    assert [e.call_id for e in host.sent] == [1]
    assert host.gate_answer(2).status == 503
    assert host.gate_answer(2).outcome is effects.Outcome.NOT_RUN


def test_call_is_not_relayed_past_its_deadline(make_published_host, wake):
    host = make_published_host(
        targets=4, relay_address="10.0.1.1:7000", control_address="10.0.1.1:1"
    )
    host.lose_targets()
    host.call_arrives(1)
    known = len(host.sent)
    freeze(host)
    helper = events.HelperAddress("10.0.1.2:7000", "west-a")
    wake(host, lambda: host.feed(events.HelpersListed, (helper,), True))
    assert [e for e in host.sent[known:] if e.call_id == 1] == []


@pytest.mark.parametrize("repeatable", [False, True])
def test_attempt_that_failed_meanwhile_is_not_retried(
    make_published_host, wake, repeatable
):
    rule = published_host.rule(repeatable=repeatable)
    host = make_published_host(targets=4, rules=[rule])
    host.arrive_and_send(1)
    freeze(host)
    reason = events.FailureReason.REFUSED
    wake(host, lambda: host.fail_attempts(reason, sent=False))
    while host.state.probes:
        host.answer_probes()
    assert len(host.sent) == 1


def test_overdue_hedge_is_not_sent_past_the_deadline(make_published_host):
    host = make_published_host(targets=4)
    host.arrive_and_send(1)
    freeze(host)
    fire_timers(host)
    while host.state.probes:
        host.answer_probes()
    assert len(host.sent) == 1


def test_answer_that_is_ready_is_delivered_late(make_published_host):
    rule = published_host.rule(repeatable=False)
    host = make_published_host(targets=4, rules=[rule])
    host.arrive_and_send(1)
    freeze(host)
    host.answer(1, 1, report=published_host.load())
    assert [e.call_id for e in host.effects_of(effects.ForwardAnswer)] == [1]


@pytest.mark.parametrize("statement", ["pause", "limit"])
def test_permission_that_ran_out_is_judged_by_the_time_it_is_now(
    make_published_host, statement
):
    """A pause is over by then; permits of a limit do not add up."""
    rule = published_host.rule(repeatable=False)
    host = make_published_host(targets=1, rules=[rule])
    attempt = host.arrive_and_send(1)
    fields = {"retry_after_s": 60.0}
    if statement == "limit":
        fields = {"rate_limit": events.RateLimitHeader(0.5)}
    report = events.LoadReport(in_flight=0, slots=4, **fields)
    host.answer(1, attempt.attempt, status=503, not_run=True, report=report)
    known = len(host.sent)
    freeze(host)
    for call_id in range(2, 12):
        host.arrive_and_send(call_id)
    allowed = 0 if statement == "pause" else 1
    assert len(host.sent) - known <= allowed


# Guards against a host that runs what only an old version allows, although it
# can tell that it has read nothing for longer than a change may take.
def test_request_that_may_run_once_is_not_run_by_a_route_of_before_the_freeze(
    make_published_host, wake
):
    host = make_published_host(
        targets=4, rules=[published_host.rule(repeatable=False)]
    )
    host.register(published_host.entry(9, service="new"))
    host.arrive_and_send(1)
    known = len(host.sent)
    host.reads_go_on = False
    freeze(host)
    wake(host, lambda: host.call_arrives(2))
    host.answer_probes()
    assert [attempt.call_id for attempt in host.sent[known:]] == []
    rule = published_host.rule(service="new", repeatable=False)
    host.configure(
        published_host.document(2, [rule], services=("s", "new")),
        late_start_us=host.now_us,
    )
    while host.state.probes:
        host.answer_probes()
    (attempt,) = host.sent[known:]
    assert (attempt.call_id, attempt.target) == (2, "10.0.0.9:80")


async def test_request_is_not_sent_if_connecting_took_past_its_deadline():
    """The host is frozen between the opening and the use of a connection."""
    async with platform_driver.running(
        platform_driver.server_behaviour()
    ) as platform:
        host, client = platform.host, platform.host.data_path.client
        connect, now_us = client.connect, host.now_us
        connected = []

        async def connect_and_freeze(target):
            connection = await connect(target)
            connected.append(target)
            return connection

        def advanced_now_us():
            # The first connection is that of the probe.
            return now_us() + FROZEN_US * (len(connected) > 1)

        client.connect = connect_and_freeze
        client.take_idle = lambda _target, repeatable: None
        client.now_us = host.now_us = advanced_now_us
        request = platform_driver.request(platform_driver.STRICT, method="POST")
        response = await platform.send_request(request)
        assert response.first_line.split()[1] == b"503"
        assert len(connected) == 2
        assert platform.requests == []
