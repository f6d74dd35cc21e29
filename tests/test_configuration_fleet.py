"""Hosts of a fleet apply each configuration in time after outages."""

import random

import pytest

import configuration_fleet as fleet_lib
import configuration_network as network

HOSTS = 9
EVERYONE = tuple(range(HOSTS))
READERS = tuple(range(network.READERS))
FOLLOWERS = EVERYONE[network.READERS :]
S = 1_000_000
OUTAGE_US = 10 * S
OUTAGE_END_US = OUTAGE_US + 6 * S
END_US = OUTAGE_END_US + 9 * S
FAILURES = ("refuse", "reset", "hang")
directed_seeds = pytest.mark.parametrize("seed", range(2))
failures = pytest.mark.parametrize("how", FAILURES)
sizes = pytest.mark.parametrize("large", [False, True])


def fault(kind, start_us, end_us, hosts, how="hang", readers=()):
    """Returns a fault."""
    return network.Fault(
        kind, int(start_us), int(end_us), tuple(hosts), how, tuple(readers)
    )


def outage(how):
    """Returns an outage of the store for all hosts."""
    return fault("store", OUTAGE_US, OUTAGE_END_US, EVERYONE, how)


@pytest.fixture
def run_fleet():
    """Returns a function that runs a fleet and fails if a host is late."""

    def run(faults, seed, large=False, domains=None):
        chosen = random.Random(seed)
        first_us = chosen.randrange(3 * S, 4 * S)
        writes = [
            (at_us, large) for at_us in range(first_us, END_US, S * 7 // 10)
        ]
        plan = network.Plan(
            hosts=HOSTS,
            end_us=END_US,
            faults=faults,
            writes=writes,
            domains=domains or [f"d{number % 3}" for number in EVERYONE],
        )
        return check(fleet_lib.Fleet(plan, seed).run())

    return run


def check(fleet):
    """Fails if a host in touch was late, went back or claimed too much."""
    assert not fleet.reverted
    claims = "\n".join(map(str, fleet.false_claims[:20]))
    assert not fleet.false_claims, f"{claims}\n{fleet.plan.faults}"
    late = "\n".join(map(str, fleet.late))
    assert not fleet.late, f"{late}\n{fleet.plan.faults}"
    return fleet


def random_plan(seed):
    """Returns a plan with outages, and other faults mostly around them."""
    chosen = random.Random(seed)
    hosts = network.READERS + chosen.randint(3, 11)
    everyone = range(hosts)
    faults = []
    start_us = chosen.randrange(6 * S, 10 * S)
    for _ in range(chosen.randint(1, 3)):
        end_us = start_us + chosen.randrange(2 * S, 8 * S)
        some = chosen.sample(everyone, chosen.randint(1, hosts - 1))
        harmed = chosen.choice([everyone, everyone, READERS, some])
        how = chosen.choice(FAILURES)
        faults.append(fault("store", start_us, end_us, harmed, how))
        for _ in range(chosen.randint(0, 4)):
            at_us = chosen.randrange(start_us - S, end_us + 2 * S)
            faults.append(random_fault(chosen, at_us, hosts))
        start_us = end_us + chosen.randrange(8 * S)
    plan_end_us = start_us + 6 * S
    writes = []
    at_us = 3 * S
    while at_us < plan_end_us:
        writes.append((at_us, chosen.random() < 0.4))
        at_us += chosen.randrange(S // 5, 2 * S)
    return network.Plan(
        hosts=hosts,
        end_us=plan_end_us,
        faults=faults,
        writes=writes,
        domains=[f"d{chosen.randrange(3)}" for _ in everyone],
        missed_wakes=chosen.choice([0.0, 0.1]),
    )


def random_fault(chosen, at_us, hosts):
    """Returns a fault of hosts, links or streams."""
    kind = chosen.choice(
        ["down", "down", "freeze", "path", "path", "link", "reset", "stall"]
    )
    some_readers = chosen.sample(READERS, chosen.randint(1, len(READERS)))
    one = [chosen.randrange(hosts)]
    harmed = chosen.choice([one, one, some_readers])
    end_us = at_us + chosen.randrange(S // 5, 8 * S)
    how = chosen.choice(FAILURES)
    others = [reader for reader in some_readers if reader not in harmed]
    return fault(kind, at_us, end_us, harmed, how, others)


@pytest.mark.parametrize("seed", range(20))
def test_versions_are_applied_in_time_after_random_faults(seed):
    check(fleet_lib.Fleet(random_plan(seed), seed).run())


@directed_seeds
@sizes
def test_versions_are_applied_in_time_without_faults(run_fleet, seed, large):
    fleet = run_fleet([], seed, large)
    assert min(host.version for host in fleet.hosts) > 20


@directed_seeds
@failures
@sizes
def test_versions_are_applied_in_time_after_an_outage(
    run_fleet, seed, how, large
):
    run_fleet([outage(how)], seed, large)


@directed_seeds
@failures
@pytest.mark.parametrize("kind", ["down", "freeze"])
def test_followers_read_the_store_when_readers_are_lost_in_an_outage(
    run_fleet, seed, how, kind
):
    lost = fault(kind, OUTAGE_US + 3 * S, END_US, READERS)
    run_fleet([outage(how), lost], seed)


# The first reads that fail wait at the store, and time out later than others.
@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("length_us", [S, S * 18 // 10, S * 28 // 10, 4 * S])
def test_followers_read_the_store_that_no_reader_reaches_after_a_moment(
    run_fleet, seed, length_us
):
    end_us = OUTAGE_US + length_us
    faults = [
        fault("store", OUTAGE_US, end_us, EVERYONE),
        fault("path", OUTAGE_US, END_US, READERS),
    ]
    run_fleet(faults, seed)


# The readers go on telling their followers that their reads fail.
@directed_seeds
@failures
@sizes
def test_followers_read_the_store_that_no_reader_reaches_after_an_outage(
    run_fleet, seed, how, large
):
    cut = fault("path", OUTAGE_US + 2 * S, END_US, READERS, how)
    run_fleet([outage(how), cut], seed, large)


@directed_seeds
@failures
def test_followers_find_the_one_reader_that_reaches_the_store(
    run_fleet, seed, how
):
    cut = fault("path", OUTAGE_US + 2 * S, END_US, READERS[:2], how)
    domains = ["near", "near", "far"] + ["near"] * len(FOLLOWERS)
    run_fleet([outage(how), cut], seed, domains=domains)


@directed_seeds
@failures
@pytest.mark.parametrize("after_us", [100_000, 700_000])
def test_first_reader_restarts_after_an_outage(run_fleet, seed, how, after_us):
    down_us = OUTAGE_END_US + after_us
    down = fault("down", down_us, down_us + S, READERS[:1])
    run_fleet([outage(how), down], seed)


@directed_seeds
@failures
@sizes
def test_host_starts_in_an_outage_from_an_older_copy(
    run_fleet, seed, how, large
):
    # The last reader has missed the versions before the outage.
    cut = [
        fault("path", OUTAGE_US - 4 * S, END_US, READERS[2:], how),
        fault(
            "link",
            OUTAGE_US - 4 * S,
            OUTAGE_END_US,
            READERS[2:],
            how,
            READERS[:2],
        ),
        fault(
            "link", OUTAGE_US, OUTAGE_END_US, FOLLOWERS[:1], how, READERS[:2]
        ),
        fault("down", OUTAGE_US + 2 * S, OUTAGE_US + 3 * S, FOLLOWERS[:1]),
    ]
    run_fleet([outage(how), *cut], seed, large)


# The host is not in touch, so the limit of 2 s does not hold for it.
@directed_seeds
@failures
def test_host_without_the_store_gets_large_records_of_its_reader(
    run_fleet, seed, how
):
    (host,) = FOLLOWERS[:1]
    cut = fault("path", OUTAGE_US, END_US, [host], how)
    fleet = run_fleet([cut], seed, large=True)
    for version, acknowledged_us in fleet.acknowledged_us.items():
        if acknowledged_us < END_US - fleet_lib.CONTACT_US:
            applied_us = fleet.applied_us(host, version)
            assert applied_us <= acknowledged_us + fleet_lib.CONTACT_US
