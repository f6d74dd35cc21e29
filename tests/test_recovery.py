"""Recovery of the complete configuration under faults."""

import pytest

from fireflyspindle.bench import fleet as fleet_lib
from fireflyspindle.core import configuration
from fireflyspindle.core import snapshots

RETENTION_S = 600


def route(number):
    return {"path_prefix": f"/{number}", "service": "dossier"}


def start_fleet(hosts=4, records=5, seed=1, retention_s=RETENTION_S):
    fleet = fleet_lib.Fleet(seed, retention_s)
    for number in range(records):
        fleet.publish("route", f"r{number}", route(number))
    for _ in range(hosts):
        fleet.start_host()
    fleet.run(10)
    assert all(host.configuration.complete for host in fleet.hosts.values())
    return fleet


def stop_log_for_all(fleet):
    fleet.log.unreachable_for.update(fleet.hosts)
    return fleet.log.unreachable_for


def digests(fleet):
    return {host.configuration.digest for host in fleet.hosts.values()}


def expire_all(fleet):
    fleet.run(1)
    fleet.log.expire(0)


def test_expired_records_are_recovered_from_a_snapshot():
    fleet = start_fleet(records=0)
    for number in range(300):
        fleet.publish("route", f"r{number}", route(number))
    fleet.run(RETENTION_S / 2)
    fleet.log.expire(RETENTION_S // 4 * 1_000_000)
    assert fleet.log.stream(configuration.STREAM).earliest_offset == 300
    for host in list(fleet.hosts.values()):
        fleet.kill_host(host)
    fleet.start_host()
    assert fleet.run_until(
        lambda: all(h.configuration.complete for h in fleet.hosts.values())
    )
    (host,) = fleet.hosts.values()
    assert len(host.configuration.entries) == 300
    assert (
        configuration.service_for_path(host.configuration, "/299") == "dossier"
    )


def test_host_without_records_or_peers_reports_lost_records():
    fleet = start_fleet()
    for host in list(fleet.hosts.values()):
        fleet.kill_host(host)
    expire_all(fleet)
    host = fleet.start_host()
    fleet.run(60)
    assert not host.configuration.complete
    assert host.log_codes.count("records_lost") == 1
    assert not host.configuration.entries


@pytest.mark.parametrize("hosts", [1, 4])
def test_host_started_in_a_log_outage_recovers_from_peers(hosts):
    fleet = start_fleet(hosts)
    fleet.run(30)
    before = digests(fleet)
    stop_log_for_all(fleet)
    host = fleet.start_host()
    fleet.log.unreachable_for.add(host.address)
    assert fleet.run_until(lambda: host.configuration.complete, 20)
    assert digests(fleet) == before


def test_lone_host_in_a_log_outage_is_incomplete():
    fleet = fleet_lib.Fleet(1)
    fleet.publish("route", "r", route(1))
    fleet.log.unreachable_for.add("10.0.0.1:81")
    host = fleet.start_host()
    fleet.run(60)
    assert not host.configuration.complete
    fleet.log.unreachable_for.clear()
    assert fleet.run_until(lambda: host.configuration.complete, 10)


def test_record_accepted_just_before_a_log_outage_reaches_all_hosts():
    fleet = start_fleet(hosts=16)
    reading_host = next(iter(fleet.hosts))
    stop_log_for_all(fleet).discard(reading_host)
    fleet.run(30)
    revision = fleet.publish("route", "last", route("last"))
    fleet.run(0.1)
    fleet.log.unreachable_for.add(reading_host)
    assert not fleet.is_active(revision)
    assert fleet.run_until(lambda: fleet.is_active(revision), 8)
    assert len(digests(fleet)) == 1


def test_multi_part_state_is_transferred_from_a_peer():
    fleet = fleet_lib.Fleet(3)
    for number in range(6):
        payload = fleet_lib.service_payload(300, number)
        fleet.publish("service", f"s{number}", payload)
    fleet.start_host()
    fleet.run(20)
    expire_all(fleet)
    host = fleet.start_host()
    assert fleet.run_until(lambda: host.configuration.complete, 30)
    assert "state_from_peer" in host.log_codes
    assert len(host.configuration.services) == 6


def test_outage_longer_than_the_retention_loses_nothing():
    fleet = start_fleet(records=20)
    before = digests(fleet)
    stop_log_for_all(fleet)
    fleet.run(2 * RETENTION_S)
    fleet.log.expire(RETENTION_S * 1_000_000)
    assert not fleet.log.stream(configuration.STREAM).bodies
    fleet.log.unreachable_for.clear()
    fleet.run(RETENTION_S / 2)
    for host in list(fleet.hosts.values()):
        fleet.kill_host(host)
    host = fleet.start_host()
    assert fleet.run_until(lambda: host.configuration.complete, 30)
    assert digests(fleet) == before


def test_host_paused_beyond_the_retention_reverts_nothing():
    fleet = start_fleet(hosts=3)
    paused_host = next(iter(fleet.hosts.values()))
    revision = 1
    paused_host.gate.paused = True
    for number in range(10):
        revision = fleet.publish("route", "r0", route(f"n{number}"), revision)
        fleet.run(RETENTION_S / 5)
        fleet.log.expire(RETENTION_S * 1_000_000)
    paused_host.gate.resume()
    fleet.run(60)
    assert paused_host.configuration.complete
    assert len(digests(fleet)) == 1
    for host in fleet.hosts.values():
        assert (
            configuration.service_for_path(host.configuration, "/n9")
            == "dossier"
        )


def test_stale_snapshot_in_the_log_reverts_nothing():
    fleet = start_fleet()
    host = next(iter(fleet.hosts.values()))
    stale_parts = snapshots.build(host.configuration, "stale")
    fleet.publish("route", "r0", None, 1)
    fleet.run(RETENTION_S / 2)
    for part in stale_parts:
        fleet.log.append(snapshots.STREAM, snapshots.encode(part))
    fleet.run(RETENTION_S / 2)
    new_host = fleet.start_host()
    fleet.run(30)
    assert len(digests(fleet)) == 1
    assert configuration.service_for_path(new_host.configuration, "/0") is None


@pytest.mark.parametrize("body", ["", "{", "[]", '{"snapshot_id": "x"}'])
def test_unreadable_snapshot_is_reported_and_skipped(body):
    fleet = start_fleet(records=0)
    for number in range(300):
        fleet.publish("route", f"r{number}", route(number))
    fleet.run(RETENTION_S / 2)
    fleet.log.append(snapshots.STREAM, body)
    fleet.log.expire(RETENTION_S // 4 * 1_000_000)
    for host in list(fleet.hosts.values()):
        fleet.kill_host(host)
    host = fleet.start_host()
    assert fleet.run_until(lambda: host.configuration.complete, 30)
    assert "snapshot_unreadable" in host.log_codes


def test_log_always_holds_a_snapshot_and_few_are_written():
    fleet = start_fleet(hosts=5, records=20)
    written = 0
    for _ in range(40):
        fleet.run(RETENTION_S / 20)
        host = fleet.random.choice(sorted(fleet.hosts))
        fleet.kill_host(fleet.hosts[host])
        fleet.start_host()
        fleet.log.expire(RETENTION_S * 1_000_000)
        stream = fleet.log.stream(snapshots.STREAM)
        written = stream.next_offset
        covered = (
            stream.bodies or fleet.timeline.now_us < RETENTION_S * 1_000_000
        )
        assert covered
    fleet.run(30)
    assert 8 <= written <= 80
    assert len(digests(fleet)) == 1


def test_hosts_that_start_together_read_the_log_sparingly():
    fleet = start_fleet(hosts=2, records=450)
    fleet.run(RETENTION_S / 2)
    for host in list(fleet.hosts.values()):
        fleet.kill_host(host)
    fleet.log.reads = 0
    for _ in range(16):
        fleet.start_host()
    assert fleet.run_until(
        lambda: all(h.configuration.complete for h in fleet.hosts.values()), 10
    )
    assert fleet.log.reads <= 16 * 6


# Guards against hosts that keep an old configuration for good, without a line
# in their logs, because their position is beyond the end of the log.
def test_record_of_a_log_that_starts_again_from_offset_0_is_applied():
    fleet = start_fleet()
    fleet.log.streams.clear()
    fleet.publish("route", "r99", route(99))
    assert fleet.run_until(
        lambda: all(
            configuration.service_for_path(host.configuration, "/99")
            for host in fleet.hosts.values()
        )
    )
