"""Hosts are not misled by a store that ends and starts again."""

import attrs
import pytest

import configuration_fleet as fleet_lib
import configuration_network as network
import configuration_store as store
import restart_plans

HOSTS = 6
EVERYONE = tuple(range(HOSTS))
READERS = tuple(range(network.READERS))
FOLLOWERS = EVERYONE[network.READERS :]
S = 1_000_000
START_US = 10 * S
RETURN_US = 13 * S
END_US = RETURN_US + 9 * S
# Five versions, so that positions are above those of topics numbered anew.
EARLIER_US = (3 * S, 4 * S, 5 * S, 6 * S, 7 * S)
FINGERPRINT = "f00d"
OTHER_FINGERPRINT = "beef"
GROUPS = {
    "first-reader": READERS[:1],
    "other-readers": READERS[1:],
    "readers": READERS,
    "followers": FOLLOWERS,
}
# Restarts after which the positions of the hosts are wrong, and all others.
RENUMBERING = (store.RECORD_LOST, store.RENUMBERED)
OTHER_RESTARTS = tuple(set(store.RESTARTS) - set(RENUMBERING))
seeds = pytest.mark.parametrize("seed", range(1))
restarts = pytest.mark.parametrize("records", sorted(store.RESTARTS))
renumbering = pytest.mark.parametrize("records", RENUMBERING)
other_restarts = pytest.mark.parametrize("records", sorted(OTHER_RESTARTS))
# In the outage, while hosts still retry, and when all have read again.
WRITES = {"in-outage": -S, "at-return": S // 5, "later": 2 * S}
write_times = pytest.mark.parametrize("write", WRITES)
groups = pytest.mark.parametrize("harmed", GROUPS)


def restart(records, unacknowledged=True):
    """Returns a restart of the store, by default after an unsettled write."""
    lost = records == store.RECORD_LOST and unacknowledged
    return network.Fault(
        "restart",
        START_US,
        RETURN_US,
        EVERYONE,
        records=records,
        unacknowledged_us=300_000 if lost else 0,
    )


def fault(kind, start_us, end_us, hosts, how="refuse", readers=()):
    """Returns another fault."""
    return network.Fault(kind, int(start_us), int(end_us), hosts, how, readers)


def run(records, seed, later_us=(), faults=(), appends=(), **fields):
    """Runs a fleet with a restart and versions before and after it."""
    has_appends = bool(appends)
    writes = [] if has_appends else [*EARLIER_US, *later_us]
    plan = network.Plan(
        hosts=HOSTS,
        end_us=END_US,
        faults=[restart(records, not has_appends), *faults],
        writes=[(at_us, fields.pop("large", False)) for at_us in writes],
        domains=[f"d{number % 3}" for number in EVERYONE],
        appends=list(appends),
    )
    return fleet_lib.Fleet(plan, seed).run()


def check_versions(fleet):
    """Fails if a version was late or replaced by an older one."""
    assert not fleet.reverted
    assert not fleet.late, "\n".join(map(str, fleet.late))


def check_all(fleet):
    """Fails also if a late host would have refused a request for good."""
    check_versions(fleet)
    assert not fleet.false_claims, fleet.false_claims[0]


def check_hosts_without_the_store(fleet, hosts, written_us):
    """Fails if hosts that are not in touch lack the newest version."""
    assert not fleet.reverted
    assert not fleet.false_claims, fleet.false_claims[0]
    for host in hosts:
        assert fleet.hosts[host].version == fleet.versions
        applied_us = fleet.applied_us(host, fleet.versions)
        assert applied_us <= written_us + fleet_lib.CONTACT_US


def notice_later(records, seed, harmed):
    """Runs a restart that some hosts notice 1.5 s after the others."""
    cut = fault("path", START_US - S, RETURN_US + 3 * S // 2, GROUPS[harmed])
    return run(records, seed, [RETURN_US + 3 * S], [cut])


def go_away(records, seed, harmed, kind):
    """Runs a restart while some hosts are down or frozen."""
    away = fault(kind, START_US - S // 2, RETURN_US + S, GROUPS[harmed])
    return run(records, seed, [RETURN_US + 2 * S], [away])


def start_in_outage(records, seed, harmed):
    """Runs a restart while some hosts start too."""
    start = fault("down", START_US + S, START_US + 2 * S, GROUPS[harmed])
    return run(records, seed, [RETURN_US + 2 * S], [start])


def move_between_readers(records, seed):
    """Runs a restart that the first reader doesn't notice."""
    faults = [
        fault("path", START_US, END_US, READERS[:1], "hang"),
        fault("link", START_US, END_US, READERS[1:], "hang", READERS[:1]),
    ]
    for n in range(1, 8):
        at_us = RETURN_US + n * S // 2
        faults.append(fault("reset", at_us, at_us, FOLLOWERS))
    return run(records, seed, [RETURN_US + S, RETURN_US + 3 * S], faults)


def target(at_us, number, **fields):
    """Returns the write or the removal of the entry of a target."""
    return restart_plans.target(at_us, number, **fields)


def crash(at_us, number, fingerprint=FINGERPRINT, **fields):
    """Returns the write or the removal of evidence of a crash."""
    return restart_plans.crash(at_us, number, fingerprint, **fields)


@seeds
@write_times
@renumbering
def test_version_is_not_missed_at_a_position_from_before_a_restart(
    seed, records, write
):
    check_versions(run(records, seed, [RETURN_US + WRITES[write]]))


@seeds
@write_times
@renumbering
def test_late_host_does_not_answer_404_after_a_restart(seed, records, write):
    fleet = run(records, seed, [RETURN_US + WRITES[write]])
    assert not fleet.false_claims, fleet.false_claims[0]


@seeds
@write_times
@other_restarts
def test_versions_are_applied_after_restarts_that_keep_positions(
    seed, records, write
):
    check_all(run(records, seed, [RETURN_US + WRITES[write]]))


@seeds
@restarts
def test_versions_are_applied_once_the_old_end_is_passed(seed, records):
    later = [RETURN_US + S + n * S // 10 for n in range(8)]
    check_versions(run(records, seed, later))


# The last version before the restart reached no host, and the store has another
# record at its offset afterwards.
@seeds
@pytest.mark.parametrize("records", [store.RENUMBERED, store.RENUMBERED_LONGER])
def test_unread_version_is_not_missed_behind_a_record_with_its_offset(
    seed, records
):
    cut = fault("path", 8 * S, START_US + S, EVERYONE)
    check_all(run(records, seed, [9 * S], [cut]))


@seeds
@renumbering
def test_reader_relays_a_lower_position_after_a_restart(seed, records):
    cut = fault("path", START_US, END_US, FOLLOWERS)
    written_us = RETURN_US + 2 * S
    fleet = run(records, seed, [written_us], [cut])
    check_hosts_without_the_store(fleet, FOLLOWERS, written_us)


@seeds
@other_restarts
def test_reader_relays_versions_after_restarts_that_keep_positions(
    seed, records
):
    cut = fault("path", START_US, END_US, FOLLOWERS)
    written_us = RETURN_US + 2 * S
    fleet = run(records, seed, [written_us], [cut])
    check_hosts_without_the_store(fleet, FOLLOWERS, written_us)


def run_followers_ahead(seed, relinked_us):
    """Runs a restart that loses a record that only followers have read.

    Args:
        seed: Seed of the fleet.
        relinked_us: Time until which the followers don't reach the readers.
    """
    faults = [
        fault("freeze", START_US - 3 * S, START_US + S, READERS),
        fault("path", START_US, END_US, FOLLOWERS),
        fault("link", START_US, relinked_us, FOLLOWERS, "refuse", READERS),
    ]
    fleet = run(store.RECORD_LOST, seed, [RETURN_US + 2 * S], faults)
    assert fleet.applied_us(FOLLOWERS[0], len(EARLIER_US) + 2) < START_US
    return fleet


@seeds
def test_follower_ahead_of_its_reader_gets_its_next_record(seed):
    fleet = run_followers_ahead(seed, START_US + S)
    check_hosts_without_the_store(fleet, FOLLOWERS, RETURN_US + 2 * S)


@seeds
def test_follower_gets_another_record_at_the_offset_of_its_last_one(seed):
    relinked_us = RETURN_US + 3 * S
    fleet = run_followers_ahead(seed, relinked_us)
    check_hosts_without_the_store(fleet, FOLLOWERS, relinked_us)


# The followers read the store anew while the readers, which don't reach it,
# offer them records from before its restart.
@seeds
@renumbering
def test_old_positions_of_a_reader_do_not_return(seed, records):
    until_us = RETURN_US + 3 * S
    faults = [fault("path", START_US - S, until_us, READERS)]
    for at_us in range(RETURN_US, until_us, S // 4):
        faults.append(fault("reset", at_us, at_us, FOLLOWERS))
    fleet = run(records, seed, [RETURN_US + S, RETURN_US + 2 * S], faults)
    assert not fleet.reverted
    assert not fleet.false_claims, fleet.false_claims[0]
    for host in EVERYONE:
        applied_us = fleet.applied_us(host, fleet.versions)
        assert applied_us <= until_us + fleet_lib.CONTACT_US


@seeds
@renumbering
@groups
def test_hosts_notice_a_renumbering_at_different_times(seed, records, harmed):
    check_all(notice_later(records, seed, harmed))


@seeds
@renumbering
@pytest.mark.parametrize("kind", ["down", "freeze"])
@groups
def test_hosts_are_away_during_a_renumbering(seed, records, kind, harmed):
    check_all(go_away(records, seed, harmed, kind))


@seeds
@renumbering
def test_followers_move_between_readers_of_different_store_runs(seed, records):
    fleet = move_between_readers(records, seed)
    check_hosts_without_the_store(fleet, FOLLOWERS, RETURN_US + 3 * S)


@seeds
@renumbering
@groups
def test_hosts_start_before_a_renumbering(seed, records, harmed):
    check_all(start_in_outage(records, seed, harmed))


@seeds
@other_restarts
@groups
def test_hosts_are_harmed_around_restarts_that_keep_positions(
    seed, records, harmed
):
    check_all(notice_later(records, seed, harmed))
    check_all(go_away(records, seed, harmed, "down"))
    check_all(go_away(records, seed, harmed, "freeze"))
    check_all(start_in_outage(records, seed, harmed))


@seeds
@other_restarts
def test_followers_move_between_readers_at_the_same_positions(seed, records):
    fleet = move_between_readers(records, seed)
    check_hosts_without_the_store(fleet, FOLLOWERS, RETURN_US + 3 * S)


def target_appends(records, *later):
    """Returns entries before a restart, one of which it may lose, and later."""
    return [
        *(target(at_us, n) for n, at_us in enumerate(EARLIER_US)),
        *(target(at_us + 1, 0, sequence=2) for at_us in EARLIER_US),
        target(START_US - S // 2, 8, acknowledged=records != store.RECORD_LOST),
        *later,
    ]


def run_new_target(records, seed, write):
    """Returns where the fleet doesn't use targets that have registered."""
    new = target(RETURN_US + WRITES[write], 9)
    fleet = run(records, seed, appends=target_appends(records, new))
    return [wrong for wrong in fleet.wrong_targets if wrong.expected]


def run_leaving_target(records, seed, write):
    """Returns where the fleet uses a target that has left."""
    gone = target(RETURN_US + WRITES[write], 1, present=False)
    fleet = run(records, seed, appends=target_appends(records, gone))
    return [wrong for wrong in fleet.wrong_targets if not wrong.expected]


@seeds
@write_times
@renumbering
def test_new_target_is_used_after_a_renumbering(seed, records, write):
    assert not run_new_target(records, seed, write)


@seeds
@write_times
@renumbering
def test_target_that_left_is_not_used_after_a_renumbering(seed, records, write):
    assert not run_leaving_target(records, seed, write)


@seeds
@write_times
@other_restarts
def test_targets_are_right_after_restarts_that_keep_positions(
    seed, records, write
):
    assert not run_new_target(records, seed, write)
    assert not run_leaving_target(records, seed, write)


def run_busy_targets(records, seed, change):
    """Runs a restart with a change behind it, beside entries that go on.

    Args:
        records: What becomes of the records.
        seed: Seed of the fleet.
        change: The first record after the restart.
    """
    entries = [
        target(at_us, 0, sequence=2 + n)
        for n, at_us in enumerate(range(RETURN_US + S // 50, END_US, S // 10))
    ]
    appends = target_appends(records, change, *entries)
    return run(records, seed, appends=appends).wrong_targets


# The position is never that of the end: targets write their entries again all
# the time.
@seeds
@renumbering
def test_new_target_is_used_beside_frequent_entries(seed, records):
    new = target(RETURN_US - 1, 9)
    wrong = run_busy_targets(records, seed, new)
    assert not [each for each in wrong if each.expected]


@seeds
@renumbering
def test_target_that_left_is_not_used_beside_frequent_entries(seed, records):
    gone = target(RETURN_US - 1, 1, present=False)
    wrong = run_busy_targets(records, seed, gone)
    assert not [each for each in wrong if not each.expected]


# The store has lost a removal, which no listing shows, and has given its offset
# to another one.
@seeds
def test_target_that_left_at_the_offset_of_a_lost_removal_is_not_used(seed):
    lost = target(START_US - S // 2, 7, present=False, acknowledged=False)
    entries = [
        *(target(at_us, n) for n, at_us in enumerate(EARLIER_US)),
        target(RETURN_US - 1, 1, present=False),
        target(RETURN_US + S // 50, 7, present=False),
    ]
    fleet = run(store.RECORD_LOST, seed, appends=[*entries, lost])
    assert not fleet.wrong_targets


# Guards against changes that are dropped for a listing that ends before them,
# and read again without a pause. Each read opens a connection.
@seeds
def test_store_that_closes_connections_is_read_like_any_other(seed):
    appends = [
        *(target(3 * S, n) for n in range(4)),
        target(8 * S, 2, present=False),
        target(9 * S, 3, present=False),
        target(10 * S, 9),
    ]
    plan = network.Plan(
        hosts=HOSTS,
        end_us=13 * S,
        faults=[],
        writes=[],
        domains=[f"d{number % 3}" for number in EVERYONE],
        appends=appends,
        keeps_connections=False,
    )
    fleet = fleet_lib.Fleet(plan, seed).run()
    assert not fleet.wrong_targets
    # Ten reads a second, each with the pages of a listing.
    assert len(fleet.store_calls) < 13 * 10 * 3


def run_crashes(records, seed):
    """Runs a fleet with three crashes after a restart."""
    acknowledged = records != store.RECORD_LOST
    other = OTHER_FINGERPRINT
    appends = [
        *(
            crash(at_us, n, fingerprint=other)
            for n, at_us in enumerate(EARLIER_US[:2])
        ),
        crash(EARLIER_US[2], 1, present=False, fingerprint=other),
        crash(START_US - S // 2, 2, other, acknowledged=acknowledged),
        *(crash(RETURN_US + (1 + n) * S, n) for n in range(3)),
    ]
    return run(records, seed, appends=appends)


@seeds
@renumbering
def test_crashes_count_after_a_renumbering(seed, records):
    assert not run_crashes(records, seed).wrong_refusals


@seeds
@other_restarts
def test_crashes_count_after_restarts_that_keep_positions(seed, records):
    assert not run_crashes(records, seed).wrong_refusals


def check_refusal(records, seed):
    """Fails if a request is accepted after a restart, without a withdrawal."""
    acknowledged = records != store.RECORD_LOST
    appends = [
        *(crash(at_us, n) for n, at_us in enumerate(EARLIER_US[:2])),
        crash(START_US - S // 2, 2, acknowledged=acknowledged),
        crash(RETURN_US + restart_plans.RETRY_US, 2),
    ]
    fleet = run(records, seed, appends=appends)
    assert all(host.refused == {FINGERPRINT} for host in fleet.hosts)
    assert not fleet.accepted_again


# A record that the store loses is no withdrawal. The host that has written it
# writes it again, and a request that is accepted meanwhile crashes targets.
@seeds
def test_request_is_not_accepted_because_the_store_lost_evidence(seed):
    check_refusal(store.RECORD_LOST, seed)


# A crash under several requests gives records with the same value.
@seeds
def test_lost_evidence_is_kept_beside_a_record_of_equal_value(seed):
    lost = crash(START_US - S // 2, 2, acknowledged=False)
    appends = [
        *(crash(at_us, n) for n, at_us in enumerate(EARLIER_US[:2])),
        lost,
        attrs.evolve(
            crash(RETURN_US - 1, 2, OTHER_FINGERPRINT), value=lost.value
        ),
        crash(RETURN_US + restart_plans.RETRY_US, 2),
    ]
    assert not run(store.RECORD_LOST, seed, appends=appends).accepted_again


@seeds
@pytest.mark.parametrize("records", [store.RENUMBERED, *sorted(OTHER_RESTARTS)])
def test_request_stays_refused_if_the_store_keeps_evidence(seed, records):
    check_refusal(records, seed)


def run_withdrawal(records, seed, write):
    """Runs a fleet with a withdrawal of evidence after a restart."""
    acknowledged = records != store.RECORD_LOST
    other = OTHER_FINGERPRINT
    appends = [
        *(crash(at_us, n) for n, at_us in enumerate(EARLIER_US[:3])),
        crash(START_US - S // 2, 4, other, acknowledged=acknowledged),
        crash(RETURN_US + WRITES[write], 0, present=False),
    ]
    return run(records, seed, appends=appends).wrong_refusals


@seeds
@write_times
def test_request_is_accepted_by_a_record_at_the_offset_of_a_lost_one(
    seed, write
):
    assert not run_withdrawal(store.RECORD_LOST, seed, write)


@seeds
@write_times
@pytest.mark.parametrize("records", [store.RENUMBERED, *sorted(OTHER_RESTARTS)])
def test_request_is_accepted_by_a_withdrawal_after_a_restart(
    seed, records, write
):
    assert not run_withdrawal(records, seed, write)


# Seeds that break a check on a build that trusts positions of an earlier run,
# and some with restarts that keep them.
@pytest.mark.parametrize("seed", [4, 6, 9, 10, 22])
def test_random_restarts_that_renumber_mislead_no_host(seed):
    fleet = restart_plans.run(seed)
    broken = restart_plans.broken_checks(fleet)
    assert not broken, f"{broken}\n{restart_plans.describe(fleet.plan)}"


@pytest.mark.parametrize("seed", range(10))
def test_random_restarts_that_keep_positions_mislead_no_host(seed):
    fleet = restart_plans.run(seed, [store.KEPT, store.HISTORY_DROPPED])
    broken = restart_plans.broken_checks(fleet)
    assert not broken, f"{broken}\n{restart_plans.describe(fleet.plan)}"
