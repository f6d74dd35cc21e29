"""Probe slots and the budget of probes over all gate hosts."""

from unittest import mock

import attrs
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from fireflyspindle.bench import virtual
from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import load as load_lib
from fireflyspindle.core import probe_slots
from fireflyspindle.core import probing
from fireflyspindle.core import records
from fireflyspindle.core import state as state_lib

SERVICE = "dossier"
TARGETS = [f"10.0.0.{number}:80" for number in range(16)]
SECOND_US = 1_000_000


@attrs.define(eq=False)
class Fleet:
    """Gate hosts with one service that share a log with delays."""

    budget_per_s: float
    delays_us: list[int] = attrs.field(factory=lambda: [2_000])
    timeline: virtual.Timeline = attrs.field(factory=virtual.Timeline)
    records: list[str] = attrs.field(factory=list)
    earliest: int = 0
    gates: list[virtual.VirtualGate] = attrs.field(factory=list)
    waiting: list = attrs.field(factory=list)
    sent_us: list[int] = attrs.field(factory=list)
    probes: list[effects.ProbeTarget] = attrs.field(factory=list)
    delays_used: int = 0
    cut_off: set = attrs.field(factory=set)

    def delay_us(self):
        """Returns the next delay."""
        self.delays_used += 1
        return self.delays_us[self.delays_used % len(self.delays_us)]

    def join(self):
        """Starts a gate host."""
        number = len(self.gates)
        gate = virtual.VirtualGate(
            self.timeline,
            state_lib.CoreSettings(f"gate-{number}"),
            number,
            self.apply_effect,
        )
        self.gates.append(gate)
        gate.start()
        gate.state.configuration.policies[SERVICE] = records.Policy(
            probes_per_s=self.budget_per_s
        )
        service = state_lib.ServiceState(SERVICE)
        for address in TARGETS:
            target = probing.targets.Target(records.TargetSpec(address))
            service.targets[address] = target
        service.candidates = list(service.targets.values())
        gate.state.services[SERVICE] = service
        return gate

    def apply_effect(self, gate, effect):
        """Simulates the log and counts probes."""
        match effect:
            case effects.ReadLog(stream=probe_slots.STREAM):
                self.timeline.after(
                    effect.delay_us + self.delay_us(),
                    lambda: self.read(gate, effect),
                )
            case effects.AppendRecord() if gate in self.cut_off:
                pass
            case effects.AppendRecord(stream=probe_slots.STREAM):
                self.timeline.after(
                    self.delay_us(), lambda: self.append(effect.body)
                )
            case effects.ProbeTarget():
                self.probes.append(effect)
                self.sent_us.append(self.timeline.now_us)
                service = gate.state.services[SERVICE]
                service.targets[
                    effect.target
                ].load.probed_us = load_lib.NEVER_US

    def append(self, body):
        """Appends a record and answers the waiting reads."""
        self.records.append(body)
        waiting, self.waiting = self.waiting, []
        for gate, effect in waiting:
            self.read(gate, effect)

    def read(self, gate, effect):
        """Answers a read once there are records."""
        from_offset = max(effect.from_offset, self.earliest)
        bodies = self.records[from_offset:]
        if effect.wait and not bodies:
            self.waiting.append((gate, effect))
            return
        entries = [
            events.LogEntry(from_offset + index, body)
            for index, body in enumerate(bodies)
        ]
        earliest, end = self.earliest, len(self.records)
        self.timeline.after(
            self.delay_us(),
            lambda: gate.feed(
                lambda now_us: events.LogRead(
                    now_us,
                    effect.stream,
                    entries,
                    effect.from_offset,
                    earliest,
                    end,
                )
            ),
        )

    def run(self, length_us):
        """Advances time."""
        self.timeline.run(self.timeline.now_us + length_us)

    def max_probes_per_second(self):
        """Returns the maximum number of probes in any one second."""
        window_start = 0
        max_count = 0
        for index, at_us in enumerate(self.sent_us):
            while self.sent_us[window_start] <= at_us - SECOND_US:
                window_start += 1
            max_count = max(max_count, index - window_start + 1)
        return max_count


ACTIONS = st.lists(
    st.tuples(
        st.sampled_from(
            [
                "join",
                "leave",
                "pause",
                "resume",
                "cut_off",
                "reconnect",
                "expire",
            ]
        ),
        st.integers(0, 30),
        st.sampled_from([0, 200_000, 3_000_000, 26_000_000, 40_000_000]),
    ),
    max_size=25,
)
DELAYS_US = st.lists(
    st.sampled_from([500, 2_000, 900_000, 12_000_000, 28_000_000]),
    min_size=1,
    max_size=7,
)


@pytest.mark.parametrize(
    ("budget_per_s", "slots"), [(0.9, 2), (5.0, 2), (20.0, 4), (20.0, 32)]
)
@settings(max_examples=40, deadline=None, derandomize=True)
@given(actions=ACTIONS, delays_us=DELAYS_US)
def test_fleet_stays_within_the_probe_budget(
    budget_per_s, slots, actions, delays_us
):
    with mock.patch.object(probe_slots, "SLOTS", slots):
        assert_budget_holds(budget_per_s, actions, delays_us)


def apply_action(fleet, action, number):
    gate = fleet.gates[number % len(fleet.gates)]
    match action:
        case "join":
            fleet.join()
        case "leave":
            gate.stopped = True
        case "pause":
            gate.paused = True
        case "resume":
            gate.resume()
        case "cut_off":
            fleet.cut_off.add(gate)
        case "reconnect":
            fleet.cut_off.discard(gate)
        case "expire":
            fleet.earliest = len(fleet.records) // 2


def assert_budget_holds(budget_per_s, actions, delays_us):
    fleet = Fleet(budget_per_s, delays_us)
    for _ in range(6):
        fleet.join()
    fleet.run(3 * SECOND_US)
    for action, number, delay_us in actions:
        apply_action(fleet, action, number)
        fleet.run(delay_us)
    for gate in fleet.gates:
        gate.resume()
    fleet.run(5 * SECOND_US)
    assert fleet.max_probes_per_second() <= int(budget_per_s)


@pytest.mark.parametrize(
    ("budget_per_s", "min_probes"), [(0.9, 0), (5.0, 3), (20.0, 12)]
)
def test_most_of_the_probe_budget_is_used(budget_per_s, min_probes):
    fleet = Fleet(budget_per_s)
    for _ in range(17):
        fleet.join()
    fleet.run(20 * SECOND_US)
    assert fleet.max_probes_per_second() >= min_probes


def slot_owners(fleet):
    return [
        gate for gate in fleet.gates if probe_slots.usable_slot(gate.state) == 0
    ]


def test_resumed_owner_does_not_use_its_expired_slot():
    fleet = Fleet(1.0)
    fleet.join()
    while not slot_owners(fleet):
        fleet.join()
        fleet.run(3 * SECOND_US)
    first_owner = slot_owners(fleet)[0]
    first_owner.paused = True
    while slot_owners(fleet) in ([], [first_owner]):
        fleet.join()
        fleet.run(10 * SECOND_US)
    probe_count = len(fleet.probes)
    first_owner.resume()
    assert len(fleet.probes) == probe_count
    assert probe_slots.usable_slot(first_owner.state) != 0


def test_slot_is_taken_over_only_after_it_expired_at_its_owner():
    with mock.patch.object(probe_slots, "SLOTS", 1):
        fleet = Fleet(1.0)
        for _ in range(3):
            fleet.join()
        fleet.run(5 * SECOND_US)
        for _ in range(4):
            fleet.cut_off.update(slot_owners(fleet))
            fleet.run(70 * SECOND_US)
            fleet.join()
        assert len({probe.probe_id for probe in fleet.probes}) > 10
        assert fleet.max_probes_per_second() == 1


def test_probe_has_the_expiry_of_the_slot_as_send_deadline():
    fleet = Fleet(20.0)
    gate = fleet.join()
    while not fleet.probes:
        fleet.run(SECOND_US)
    valid_until_us = gate.state.probe_slots.valid_until_us
    latest_us = fleet.sent_us[0] + probing.MAX_SEND_DELAY_US
    assert fleet.probes[0].not_after_us == min(latest_us, valid_until_us)


def test_slot_is_kept_by_renewal_and_lost_in_a_log_outage():
    fleet = Fleet(20.0)
    gate = fleet.join()
    fleet.run(60 * SECOND_US)
    slot = probe_slots.usable_slot(gate.state)
    assert slot is not None
    fleet.cut_off.add(gate)
    fleet.run(30 * SECOND_US)
    assert probe_slots.usable_slot(gate.state) is None


@pytest.mark.parametrize("body", ["{", '{"slot": 99}', "[]", '{"slot":"x"}'])
def test_unreadable_record_does_not_free_a_slot(body):
    fleet = Fleet(20.0)
    fleet.records = [body]
    gate = fleet.join()
    fleet.run(20 * SECOND_US)
    assert probe_slots.usable_slot(gate.state) is None


def test_only_idle_or_ejected_targets_are_probed():
    fleet = Fleet(20.0)
    gate = fleet.join()
    while not fleet.probes:
        fleet.run(SECOND_US)
    service = gate.state.services[SERVICE]
    for target in service.candidates:
        target.load.reported_us = fleet.timeline.now_us
    fleet.probes.clear()
    fleet.run(4 * SECOND_US)
    assert not fleet.probes
    service.candidates[3].ejected = True
    fleet.run(2 * SECOND_US)
    assert {probe.target for probe in fleet.probes} == {TARGETS[3]}
