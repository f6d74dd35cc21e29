"""Gate hosts of which most reach no target, summed over the fleet."""

import collections

import attrs
import pytest

from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import state as state_lib
import published_driver as published_host

HOSTS = 14
TARGETS = 6
TICK_US = 10_000
TICKS_PER_S = 100
PROBE_TIMEOUT_TICKS = 10
SERVICE_TICKS = 5
# Time from the start of a cut after which calls must be served (`contact-ms`).
CONTACT_TICKS = 3 * TICKS_PER_S


@attrs.define(frozen=True)
class Attempt:
    """One attempt of a call at one host."""

    host: int
    call_id: int
    number: int


class Fleet:
    """Hosts that relay calls to each other, in steps of `TICK_US`.

    Args:
        hosts: The hosts.
        how: How connections of cut off hosts fail: "refuse" or "hang"; or
            "lose answers" if targets run their requests, and then get no answer
            to requests that helpers send on.
    """

    def __init__(self, hosts, how):
        self.hosts = hosts
        self.how = how
        self.cut_off = set()
        self.tick = 0
        self.due = collections.defaultdict(list)
        self.known = [len(host.effects) for host in hosts]
        self.origins = {}
        self.served = collections.Counter()
        self.sent = collections.Counter()
        self.runs = collections.Counter()
        self.relayed_late = set()
        self.relayed_to = collections.Counter()
        self.last_call_id = 0

    def _address(self, number):
        return f"10.9.0.{number}:7620"

    def run(self, ticks):
        """Runs the fleet; each host gets a call every four ticks."""
        for _ in range(ticks):
            self.tick += 1
            for number, host in enumerate(self.hosts):
                host.advance(TICK_US)
                if self.tick % 4 == number % 4:
                    self._call(number)
            for action in self.due.pop(self.tick, []):
                action()
            for number in range(len(self.hosts)):
                self._carry_out(number)

    def _call(self, number):
        self.last_call_id += 1
        self.sent[number] += 1
        host = self.hosts[number]
        path = "/s/x" if self.last_call_id % 2 else "/strict/x"
        request_id = f"q{self.last_call_id}"
        host.call_arrives(
            self.last_call_id, path, deadline_ms=700, request_id=request_id
        )

    def _later(self, ticks, action):
        self.due[self.tick + ticks].append(action)

    def _carry_out(self, number):
        """Carries out the new effects of a host."""
        host = self.hosts[number]
        while self.known[number] < len(host.effects):
            effect = host.effects[self.known[number]]
            self.known[number] += 1
            match effect:
                case effects.ProbeTarget(probe_id=probe_id):
                    self._probe(number, probe_id)
                case effects.SendToTarget():
                    self._send(number, effect)
                case effects.ListHelpers():
                    self._list_helpers(number)
                case effects.AnswerCaller():
                    self._answer_origin(number, effect)
                case effects.ForwardAnswer(call_id):
                    self._forward(number, call_id)
                case effects.CancelAttempt(call_id, attempt):
                    reason = events.FailureReason.CANCELLED
                    host.fail(call_id, attempt, reason, True)

    def _probe(self, number, probe_id):
        host = self.hosts[number]
        if number in self.cut_off:
            ticks = 1 if self.how == "refuse" else PROBE_TIMEOUT_TICKS
            self._later(
                ticks, lambda: host.feed(events.ProbeEnded, probe_id, None)
            )
            return
        report = published_host.load()
        self._later(1, lambda: host.feed(events.ProbeEnded, probe_id, report))

    def _send(self, number, effect):
        host = self.hosts[number]
        attempt = Attempt(number, effect.call_id, effect.attempt)
        if effect.relayed:
            self._relay(attempt, effect)
        elif number not in self.cut_off:
            request_id = host.state.calls[effect.call_id].request_id
            self.runs[request_id] += 1
            if request_id not in self.relayed_late:
                self._later(SERVICE_TICKS, lambda: self._answer(attempt))
        elif self.how == "lose answers":
            self.runs[host.state.calls[effect.call_id].request_id] += 1
        elif self.how == "refuse":
            self._later(1, lambda: self._refuse(attempt))

    def _relay(self, attempt, effect):
        helper = int(effect.target.split(".")[3].split(":")[0])
        self.relayed_to[helper] += 1
        self.last_call_id += 1
        call = self.hosts[attempt.host].state.calls[attempt.call_id]
        if self.runs[call.request_id]:
            self.relayed_late.add(call.request_id)
        self.origins[helper, self.last_call_id] = attempt
        self.hosts[helper].call_arrives(
            self.last_call_id,
            "/s/x" if call.repeatable else "/strict/x",
            deadline_ms=effect.timeout_us // 1000,
            request_id=call.request_id,
            relayed=True,
            relay_max_attempts=effect.max_attempts,
        )

    def _list_helpers(self, number):
        listed = tuple(
            events.HelperAddress(self._address(other), published_host.DOMAIN)
            for other in range(len(self.hosts))
            if other not in self.cut_off
        )
        host = self.hosts[number]
        self._later(1, lambda: host.feed(events.HelpersListed, listed))

    def _answer(self, attempt, status=200, **fields):
        host = self.hosts[attempt.host]
        if attempt.call_id in host.state.calls:
            report = None if fields else published_host.load()
            host.answer(
                attempt.call_id,
                attempt.number,
                status,
                report=report,
                **fields,
            )
            host.finish(attempt.call_id)

    def _refuse(self, attempt):
        reason = events.FailureReason.REFUSED
        host = self.hosts[attempt.host]
        host.fail(attempt.call_id, attempt.number, reason, False)

    def _answer_origin(self, number, effect):
        origin = self.origins.get((number, effect.call_id))
        if origin is not None:
            not_run = effect.outcome is effects.Outcome.NOT_RUN
            self._answer(
                origin,
                effect.status,
                not_run=not_run,
                not_carried=effect.not_carried,
            )

    def _forward(self, number, call_id):
        origin = self.origins.get((number, call_id))
        if origin is None:
            self.served[number] += 1
        else:
            self._answer(origin)


def make_fleet(make_published_host, how):
    """Returns a fleet whose hosts have served calls."""
    rules = (
        published_host.rule(timeout_ms=700),
        published_host.rule(
            "strict", prefix="/strict/", timeout_ms=700, repeatable=False
        ),
    )
    hosts = [
        make_published_host(
            targets=TARGETS,
            seed=number,
            rules=rules,
            relay_address=f"10.9.0.{number}:7620",
        )
        for number in range(HOSTS)
    ]
    fleet = Fleet(hosts, how)
    fleet.run(TICKS_PER_S)
    return fleet


# Callers of these hosts were not served at all.
@pytest.mark.parametrize("how", ["refuse", "hang"])
@pytest.mark.parametrize("cut_off", [1, 8, 13])
def test_callers_of_hosts_that_reach_no_target_are_served_as_often(
    make_published_host, how, cut_off
):
    fleet = make_fleet(make_published_host, how)
    fleet.cut_off = set(range(cut_off))
    fleet.run(CONTACT_TICKS)
    fleet.served.clear()
    fleet.sent.clear()
    fleet.relayed_to.clear()
    fleet.run(3 * TICKS_PER_S)
    served = sum(fleet.served[number] for number in range(cut_off))
    sent = sum(fleet.sent[number] for number in range(cut_off))
    assert served >= 0.95 * sent
    assert max(fleet.runs.values()) == 1
    helpers = HOSTS - cut_off
    most = max(fleet.relayed_to.values())
    assert most <= 2 * sum(fleet.relayed_to.values()) / helpers


@pytest.mark.parametrize("how", ["refuse", "hang"])
def test_hosts_stop_relaying_after_the_cut(make_published_host, how):
    fleet = make_fleet(make_published_host, how)
    fleet.cut_off = set(range(8))
    fleet.run(CONTACT_TICKS)
    fleet.cut_off = set()
    fleet.run(TICKS_PER_S)
    fleet.relayed_to.clear()
    fleet.run(TICKS_PER_S)
    assert not fleet.relayed_to


def test_calls_are_refused_at_once_when_all_hosts_are_cut_off(
    make_published_host,
):
    fleet = make_fleet(make_published_host, "hang")
    fleet.cut_off = set(range(HOSTS))
    fleet.run(CONTACT_TICKS)
    fleet.relayed_to.clear()
    fleet.run(TICKS_PER_S)
    assert not fleet.relayed_to
    for host in fleet.hosts:
        phases = [call.phase for call in host.state.calls.values()]
        assert phases.count(state_lib.CallPhase.WAITING) <= 1


def test_late_relayed_call_reaches_no_more_targets_than_its_route_allows(
    make_published_host,
):
    """Guards against a helper that counts the attempts from zero."""
    fleet = make_fleet(make_published_host, "lose answers")
    fleet.cut_off = {0}
    fleet.run(CONTACT_TICKS)
    relayed = fleet.relayed_late
    assert relayed
    assert max(fleet.runs[request_id] for request_id in relayed) == 2
