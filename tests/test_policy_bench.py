"""Simulated targets and the comparison of the policy benchmark."""

import pytest

from fireflyspindle.bench import policy
from fireflyspindle.bench import policy_model


def plan(scenario="noisy", **changes):
    fields = {
        "deployment": policy_model.DEPLOYMENTS["zeevaart"],
        "load": 0.6,
        "scenario": scenario,
        "service": "exponential",
        "gates": 14,
        "duration_us": 300_000,
    }
    return policy_model.Plan(**{**fields, **changes})


@pytest.mark.parametrize(
    ("noise", "expected_us"),
    [("rate", [500, 3000, 6000]), ("start", [500, 1500, 3000])],
)
def test_slow_period_slows_overlapping_work(noise, expected_us):
    world = policy_model.world(plan("steady", noise=noise), 1)
    slow_period = policy_model.SlowPeriod(1000, 5000, 4)
    target = policy_model.Target(world.timeline, world.plan, 0, [slow_period])
    ended_us = []
    for work_us in (500, 1500, 3000):
        target.enqueue(
            policy_model.Job(
                work_us, lambda ran: ended_us.append(world.timeline.now_us)
            )
        )
    world.timeline.run(100_000)
    assert ended_us == expected_us


def test_target_queues_excess_requests_and_cancels():
    world = policy_model.world(plan("steady"), 1)
    target = world.targets[0]
    ended = []
    jobs = [
        policy_model.Job(1000, lambda ran, number=number: ended.append(number))
        for number in range(6)
    ]
    for job in jobs:
        target.enqueue(job)
    target.cancel(jobs[0])
    target.cancel(jobs[5])
    world.timeline.run(100_000)
    assert ended == [1, 2, 3, 4]
    assert target.in_flight == 0
    assert target.runs == 5


@pytest.mark.parametrize(
    "scenario", ["noisy", "fail-fast", "drain", "lying", "missing", "stale"]
)
def test_every_call_ends_once_and_runs_are_reproducible(scenario):
    figures = policy.compare(plan(scenario), 1)
    for row in figures["policies"].values():
        ended = row["complete"] + row["not_run"] + row["unknown"]
        assert ended == row["calls"]
    assert figures == policy.compare(plan(scenario), 1)
