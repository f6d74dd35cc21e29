"""Random plans of a fleet whose store restarts, and their checks."""

import json
import random
import time

import attrs

import configuration_fleet as fleet_lib
import configuration_network as network
import configuration_store as store
from fireflyspindle.core import events
from fireflyspindle.platform import crash_records
from fireflyspindle.testing import platform_documents

S = 1_000_000
READERS = tuple(range(network.READERS))
# Longest pause before a host repeats a write that was not acknowledged.
RETRY_US = 800_000
FAILURES = ("refuse", "reset", "hang")
KINDS = ("down", "down", "freeze", "freeze", "path", "path", "link", "reset")
# Checks of a fleet, by the name of what they find.
CHECKS = (
    "late",
    "false_claims",
    "reverted",
    "wrong_targets",
    "wrong_refusals",
    "accepted_again",
)


def target(at_us, number, present=True, acknowledged=True, sequence=1):
    """Returns the write or the removal of the entry of a target."""
    document = platform_documents.target_entry(f"10.1.0.{number}:80")
    document["status"]["sequence"] = sequence
    value = json.dumps(document).encode() if present else None
    return network.Append(
        at_us, fleet_lib.TARGETS_TOPIC, f"i-{number}", value, acknowledged
    )


def crash(at_us, number, fingerprint, present=True, acknowledged=True):
    """Returns the write or the removal of evidence of a crash."""
    key = events.CrashKey(
        fingerprint, events.TargetStart(f"i-{number}", 1_000 + number)
    )
    record = events.CrashRecord(platform_documents.SERVICE, 0)
    value = crash_records.encode_value(record, time.time_ns() // 1_000_000)
    return network.Append(
        at_us,
        fleet_lib.CRASHES_TOPIC,
        crash_records.encode_key(key),
        value if present else None,
        acknowledged,
    )


def random_plan(seed: int, kinds=store.RESTARTS) -> network.Plan:
    """Returns a plan with restarts, and other faults around them.

    Args:
        seed: Seed of the plan.
        kinds: Restarts to choose from.
    """
    chosen = random.Random(seed)
    hosts = network.READERS + chosen.randint(2, 7)
    everyone = tuple(range(hosts))
    faults = []
    start_us = chosen.randrange(8 * S, 10 * S)
    for _ in range(chosen.randint(1, 2)):
        end_us = start_us + chosen.randrange(S, 5 * S)
        records = chosen.choice(kinds)
        is_lost = records == store.RECORD_LOST
        faults.append(
            network.Fault(
                "restart",
                start_us,
                end_us,
                everyone,
                records=records,
                unacknowledged_us=chosen.randrange(1_000, S) if is_lost else 0,
            )
        )
        for _ in range(chosen.randint(0, 3)):
            at_us = chosen.randrange(start_us - 2 * S, end_us + 2 * S)
            faults.append(_random_fault(chosen, at_us, hosts))
        start_us = end_us + chosen.randrange(6 * S, 9 * S)
    plan_end_us = start_us + 3 * S
    return network.Plan(
        hosts=hosts,
        end_us=plan_end_us,
        faults=faults,
        writes=_random_writes(chosen, plan_end_us),
        domains=[f"d{chosen.randrange(3)}" for _ in everyone],
        missed_wakes=chosen.choice([0.0, 0.1]),
        appends=[
            *_random_appends(chosen, plan_end_us),
            *_lost_evidence(faults),
        ],
    )


def _random_fault(chosen, at_us, hosts):
    kind = chosen.choice(KINDS)
    some_readers = tuple(chosen.sample(READERS, chosen.randint(1, 3)))
    one = (chosen.randrange(hosts),)
    harmed = chosen.choice([one, one, some_readers])
    end_us = at_us + chosen.randrange(S // 5, 6 * S)
    others = tuple(r for r in some_readers if r not in harmed)
    return network.Fault(
        kind, at_us, end_us, harmed, chosen.choice(FAILURES), others
    )


def _random_writes(chosen, end_us):
    """Returns versions; rare ones, which later ones don't make up for."""
    pause_us = chosen.choice([S, 4 * S])
    writes = []
    at_us = 3 * S
    while at_us < end_us - 3 * S:
        writes.append((at_us, chosen.random() < 0.3))
        at_us += chosen.randrange(S // 5, 2 * pause_us)
    return writes


def _random_appends(chosen, end_us):
    """Returns entries of targets that come and go, and crashes."""
    appends = []
    for number in range(1, 5):
        present = False
        sequence = 0
        at_us = chosen.randrange(2 * S, 5 * S)
        while at_us < end_us - 3 * S:
            present = not present
            sequence += 1
            appends.append(target(at_us, number, present, sequence=sequence))
            at_us += chosen.randrange(2 * S, 12 * S)
    for fingerprint in ("f00d", "beef"):
        times_us = sorted(
            chosen.randrange(3 * S, end_us - 3 * S) for _ in range(3)
        )
        appends += [
            crash(at_us, number, fingerprint)
            for number, at_us in enumerate(times_us)
        ]
    return appends


def _lost_evidence(faults):
    """Returns crashes, one of which a restart loses, so that it comes again."""
    for fault in faults:
        if fault.unacknowledged_us:
            lost_us = fault.start_us - fault.unacknowledged_us + 1
            return [
                crash(3 * S, 0, "cafe"),
                crash(4 * S, 1, "cafe"),
                crash(lost_us, 2, "cafe", acknowledged=False),
                crash(fault.end_us + RETRY_US, 2, "cafe"),
            ]
    return []


def broken_checks(fleet: fleet_lib.Fleet) -> dict[str, str]:
    """Returns the first finding of each check that fails."""
    found = {name: getattr(fleet, name) for name in CHECKS}
    return {name: str(each[0]) for name, each in found.items() if each}


def run(seed: int, kinds=store.RESTARTS) -> fleet_lib.Fleet:
    """Runs the random plan of a seed."""
    return fleet_lib.Fleet(random_plan(seed, kinds), seed).run()


def describe(plan: network.Plan) -> str:
    """Returns the faults and the versions of a plan, as text."""
    faults = "\n".join(
        str(attrs.asdict(fault, filter=lambda _, value: value not in ((), 0)))
        for fault in plan.faults
    )
    return f"{faults}\n{plan.writes}"
