"""Graceful shutdown: grace period, drain, hard limit, rolling replacement."""

import asyncio
import collections

import aiohttp
import attrs
import pytest

from fireflyspindle import headers
from fireflyspindle import settings as settings_lib
from fireflyspindle import testing
from fireflyspindle.core import answer_times
from fireflyspindle.core import effects
from fireflyspindle.core import events

COMPLETE = effects.Outcome.COMPLETE
NOT_RUN = effects.Outcome.NOT_RUN
UNKNOWN = effects.Outcome.UNKNOWN
GRACE_MS = 2_000
LIMIT_MS = 5_000


@pytest.fixture
def host(make_host):
    host = make_host(drain_grace_ms=GRACE_MS, drain_limit_ms=LIMIT_MS)
    # Answers are known to take 10 ms: a stopping host refuses calls of services
    # whose answer times are not known.
    host.state.services["s"].answer_times[""] = answer_times.AnswerTimes(
        answers=100, longest_us=10_000
    )
    return host


def request_stop(host):
    host.feed(events.StopRequested)


def test_calls_are_accepted_until_the_grace_period_ends(host):
    request_stop(host)
    assert host.effects_of(effects.CloseAfterAnswers)
    assert not host.effects_of(effects.StopListening)
    sent = host.call_arrives(1)
    assert sent is not None
    host.advance(GRACE_MS * 1000)
    assert len(host.effects_of(effects.StopListening)) == 1
    assert not host.effects_of(effects.Exit)
    host.answer(1, sent.attempt)
    assert not host.effects_of(effects.Exit)
    host.finish(1)
    assert host.effects_of(effects.Exit)


def test_idle_host_exits_after_the_grace_period(host):
    request_stop(host)
    host.advance(GRACE_MS * 1000 - 1)
    assert not host.effects_of(effects.Exit)
    host.advance(1)
    assert host.effects_of(effects.Exit)


def test_second_request_ends_the_grace_period_but_cancels_no_call(host):
    sent = host.call_arrives(1)
    request_stop(host)
    request_stop(host)
    assert len(host.effects_of(effects.StopListening)) == 1
    assert not host.effects_of(effects.Exit)
    assert not host.effects_of(effects.CancelAttempt)
    request_stop(host)
    assert not host.effects_of(effects.Exit)
    host.answer(1, sent.attempt)
    host.finish(1)
    assert host.outcome(1) is COMPLETE
    assert host.effects_of(effects.Exit)


def awaiting_answer(host, repeatable):
    host.call_arrives(1, repeatable=repeatable)


def forwarding_answer(host, repeatable):
    sent = host.call_arrives(1, repeatable=repeatable)
    host.answer(1, sent.attempt)


def queued(host, repeatable):
    service = host.state.services["s"]
    service.capacity.refresh_at_us = 1 << 60
    host.call_arrives(1, repeatable=repeatable)


def retried_after_refusal(host, repeatable):
    sent = host.call_arrives(1, repeatable=repeatable)
    host.fail(1, sent.attempt, events.FailureReason.REFUSED, False)


@pytest.mark.parametrize(
    ("prepare", "repeatable", "outcome", "cancelled"),
    [
        (awaiting_answer, True, UNKNOWN, 1),
        (awaiting_answer, False, UNKNOWN, 1),
        (forwarding_answer, True, COMPLETE, 1),
        (forwarding_answer, False, COMPLETE, 1),
        (queued, True, NOT_RUN, 0),
        (queued, False, NOT_RUN, 0),
        (retried_after_refusal, False, UNKNOWN, 1),
    ],
)
def test_calls_at_the_hard_limit_get_their_true_outcome(
    host, prepare, repeatable, outcome, cancelled
):
    request_stop(host)
    prepare(host, repeatable)
    host.advance(LIMIT_MS * 1000)
    assert host.outcome(1) is outcome
    assert len(host.effects_of(effects.CancelAttempt)) == cancelled
    assert host.effects_of(effects.Exit)


@attrs.define
class Fleet:
    """Gate hosts behind a balancer that reacts late, and continuous callers."""

    system: testing.StandInSystem
    balancer: list[str] = attrs.field(factory=list)
    answered: collections.Counter = attrs.field(factory=collections.Counter)
    open: collections.Counter = attrs.field(factory=collections.Counter)
    failed_calls: list[str] = attrs.field(factory=list)
    closing_answers: int = 0
    stop_callers: bool = False

    async def run_caller(self, number):
        """Calls the gate hosts in turn until `stop_callers` is set."""
        position = number
        async with aiohttp.ClientSession() as session:
            while not self.stop_callers:
                position += 1
                name = self.balancer[position % len(self.balancer)]
                self.open[name] += 1
                await self.call(session, name)
                self.open[name] -= 1
                self.answered[name] += 1

    async def call(self, session, name):
        """Makes one non-repeatable call."""
        url = f"http://{self.system.gates[name].callers_address}/dossier"
        try:
            async with session.post(url, data=b"x") as answer:
                await answer.read()
                outcome = answer.headers[headers.OUTCOME]
                self.closing_answers += (
                    answer.headers.get("Connection") == "close"
                )
        except aiohttp.ClientError as error:
            self.failed_calls.append(f"{name}: {error!r}")
            return
        if outcome != COMPLETE.value:
            self.failed_calls.append(f"{name}: {outcome}")

    async def until(self, condition):
        """Waits for a condition."""
        async with asyncio.timeout(30):
            while not condition():
                await asyncio.sleep(0.002)


def endless_grace_settings(system, name):
    """Settings with a grace period that only a second stop request ends."""
    limits = settings_lib.LimitSettings(drain_grace_ms=600_000)
    return attrs.evolve(system.gate_settings(name), limits=limits)


async def replace(fleet, old, new):
    """Replaces a gate host; returns its calls in flight as it was stopped."""
    system = fleet.system
    await system.add_gate(new, endless_grace_settings(system, new))
    fleet.balancer.append(new)
    gate = system.gates[old]
    gate.request_stop()
    before = fleet.answered[old]
    await fleet.until(lambda: fleet.answered[old] >= before + 10)
    fleet.balancer.remove(old)
    await fleet.until(lambda: len(gate.state.calls) >= fleet.open[old])
    in_flight = len(gate.state.calls)
    await system.stop_gate(old)
    return in_flight


async def test_rolling_replacement_of_all_gate_hosts_loses_no_call():
    async with testing.StandInSystem() as system:
        targets = [
            testing.StandInTarget(f"t{n}", slots=8, mean_service_ms=5, seed=n)
            for n in range(3)
        ]
        addresses = [await system.add_target(target) for target in targets]
        specs = [{"address": address, "slots": 8} for address in addresses]
        testing.publish(system.log, "service", "d", {"targets": specs})
        route = {"path_prefix": "/dossier", "service": "d"}
        testing.publish(system.log, "route", "d", route)
        fleet = Fleet(system)
        for number in range(3):
            name = f"old-{number}"
            await system.add_gate(name, endless_grace_settings(system, name))
            fleet.balancer.append(name)
        callers = [
            asyncio.create_task(fleet.run_caller(number))
            for number in range(12)
        ]
        in_flight = 0
        for number in range(3):
            in_flight += await replace(fleet, f"old-{number}", f"new-{number}")
        fleet.stop_callers = True
        await asyncio.gather(*callers)
        for name in ("new-0", "new-1", "new-2"):
            system.gates[name].request_stop()
    runs = [count for t in targets for count in t.journal.values()]
    assert fleet.failed_calls == []
    assert in_flight > 0
    assert fleet.closing_answers > 0
    assert sum(runs) == fleet.answered.total()
    assert max(runs) == 1
