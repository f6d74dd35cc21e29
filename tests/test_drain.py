"""The planned stop of a gate host: grace, drain, hard limit, replacement."""

import asyncio
import collections

import aiohttp
import attrs
import pytest

from fireflyspindle import headers
from fireflyspindle import settings as settings_lib
from fireflyspindle import testing
from fireflyspindle.core import effects
from fireflyspindle.core import events

COMPLETE = effects.Outcome.COMPLETE
NOT_RUN = effects.Outcome.NOT_RUN
UNKNOWN = effects.Outcome.UNKNOWN
GRACE_MS = 2_000
LIMIT_MS = 5_000


@pytest.fixture
def host(make_host):
    return make_host(drain_grace_ms=GRACE_MS, drain_limit_ms=LIMIT_MS)


def stop(host):
    host.feed(events.StopRequested)


def test_grace_time_still_takes_calls_and_then_closes(host):
    stop(host)
    assert host.of(effects.CloseAfterAnswers)
    assert not host.of(effects.StopListening)
    sent = host.arrive(1)
    assert sent is not None
    host.advance(GRACE_MS * 1000)
    assert len(host.of(effects.StopListening)) == 1
    assert not host.of(effects.Exit)
    host.answer(1, sent.attempt)
    assert not host.of(effects.Exit)
    host.finish(1)
    assert host.of(effects.Exit)


def test_idle_host_waits_for_the_grace_time(host):
    stop(host)
    host.advance(GRACE_MS * 1000 - 1)
    assert not host.of(effects.Exit)
    host.advance(1)
    assert host.of(effects.Exit)


def test_second_request_ends_the_grace_but_cuts_nothing(host):
    sent = host.arrive(1)
    stop(host)
    stop(host)
    assert len(host.of(effects.StopListening)) == 1
    assert not host.of(effects.Exit)
    assert not host.of(effects.CancelAttempt)
    stop(host)
    assert not host.of(effects.Exit)
    host.answer(1, sent.attempt)
    host.finish(1)
    assert host.outcome(1) is COMPLETE
    assert host.of(effects.Exit)


def waiting(host, repeatable):
    host.arrive(1, repeatable=repeatable)


def forwarding(host, repeatable):
    sent = host.arrive(1, repeatable=repeatable)
    host.answer(1, sent.attempt)


def in_queue(host, repeatable):
    service = host.state.services["s"]
    service.capacity.check_us = 1 << 60
    host.arrive(1, repeatable=repeatable)


def refused_before(host, repeatable):
    sent = host.arrive(1, repeatable=repeatable)
    host.fail(1, sent.attempt, events.FailureReason.REFUSED, False)


@pytest.mark.parametrize(
    ("where", "repeatable", "told", "cancelled"),
    [
        (waiting, True, UNKNOWN, 1),
        (waiting, False, UNKNOWN, 1),
        (forwarding, True, COMPLETE, 1),
        (forwarding, False, COMPLETE, 1),
        (in_queue, True, NOT_RUN, 0),
        (in_queue, False, NOT_RUN, 0),
        (refused_before, False, UNKNOWN, 1),
    ],
)
def test_hard_limit_tells_the_truth(host, where, repeatable, told, cancelled):
    stop(host)
    where(host, repeatable)
    host.advance(LIMIT_MS * 1000)
    assert host.outcome(1) is told
    assert len(host.of(effects.CancelAttempt)) == cancelled
    assert host.of(effects.Exit)


@attrs.define
class Fleet:
    """Gate hosts behind a balancer that lags, and callers that never rest."""

    parts: testing.StandInSystem
    balancer: list[str] = attrs.field(factory=list)
    answered: collections.Counter = attrs.field(factory=collections.Counter)
    open: collections.Counter = attrs.field(factory=collections.Counter)
    cut: list[str] = attrs.field(factory=list)
    closing: int = 0
    ended: bool = False

    async def caller(self, number):
        """Calls one gate host after the other until the end."""
        turn = number
        async with aiohttp.ClientSession() as session:
            while not self.ended:
                turn += 1
                name = self.balancer[turn % len(self.balancer)]
                self.open[name] += 1
                await self.call(session, name)
                self.open[name] -= 1
                self.answered[name] += 1

    async def call(self, session, name):
        """Makes one call that may run once only."""
        url = f"http://{self.parts.gates[name].callers_address}/dossier"
        try:
            async with session.post(url, data=b"x") as answer:
                await answer.read()
                outcome = answer.headers[headers.OUTCOME]
                self.closing += answer.headers.get("Connection") == "close"
        except aiohttp.ClientError as error:
            self.cut.append(f"{name}: {error!r}")
            return
        if outcome != COMPLETE.value:
            self.cut.append(f"{name}: {outcome}")

    async def until(self, condition):
        """Waits for a condition."""
        async with asyncio.timeout(30):
            while not condition():
                await asyncio.sleep(0.002)


def patient(parts, name):
    """Settings of a gate host whose grace time only a second stop ends."""
    limits = settings_lib.LimitSettings(drain_grace_ms=600_000)
    return attrs.evolve(parts.gate_settings(name), limits=limits)


async def replace(fleet, old, new):
    """Replaces a gate host; returns what was in flight as it closed."""
    parts = fleet.parts
    await parts.add_gate(new, patient(parts, new))
    fleet.balancer.append(new)
    gate = parts.gates[old]
    gate.request_stop()
    before = fleet.answered[old]
    await fleet.until(lambda: fleet.answered[old] >= before + 10)
    fleet.balancer.remove(old)
    await fleet.until(lambda: len(gate.state.calls) >= fleet.open[old])
    in_flight = len(gate.state.calls)
    await parts.stop_gate(old)
    return in_flight


async def test_rolling_replacement_of_every_gate_host_cuts_nothing():
    async with testing.StandInSystem() as parts:
        targets = [
            testing.StandInTarget(f"t{n}", slots=8, mean_service_ms=5, seed=n)
            for n in range(3)
        ]
        addresses = [await parts.add_target(target) for target in targets]
        specs = [{"address": address, "slots": 8} for address in addresses]
        testing.publish(parts.log, "service", "d", {"targets": specs})
        route = {"path_prefix": "/dossier", "service": "d"}
        testing.publish(parts.log, "route", "d", route)
        fleet = Fleet(parts)
        for number in range(3):
            name = f"old-{number}"
            await parts.add_gate(name, patient(parts, name))
            fleet.balancer.append(name)
        callers = [
            asyncio.create_task(fleet.caller(number)) for number in range(12)
        ]
        in_flight = 0
        for number in range(3):
            in_flight += await replace(fleet, f"old-{number}", f"new-{number}")
        fleet.ended = True
        await asyncio.gather(*callers)
        for name in ("new-0", "new-1", "new-2"):
            parts.gates[name].request_stop()
    runs = [count for t in targets for count in t.journal.values()]
    assert fleet.cut == []
    assert in_flight > 0
    assert fleet.closing > 0
    assert sum(runs) == fleet.answered.total()
    assert max(runs) == 1
