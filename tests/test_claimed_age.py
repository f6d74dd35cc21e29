"""Hosts know how old their configuration is, also after unusual reads.

A host refuses a request for good, with 404, only if it has read every record
that is older than the limit for changes.
"""

import json

import attrs
import pytest

import configuration_fleet as fleet_lib
import configuration_network as network
from fireflyspindle.adapters import store_records
from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import published
from fireflyspindle.core import store_state
from fireflyspindle.platform import store_decoder
from fireflyspindle.testing import platform_documents
import published_driver as published_host
import test_following
import test_outdated_configuration as outdated

S = 1_000_000
HOSTS = 9
READERS = tuple(range(network.READERS))
FAULT_US = 10 * S
END_US = 26 * S
REFUSED_FOR_NOW = (503, "configuration_outdated")


def run_fleet(faults, seed=1, write_interval_us=S * 7 // 10, **plan):
    """Runs hosts that get a new version every now and then."""
    return fleet_lib.Fleet(
        network.Plan(
            hosts=HOSTS,
            end_us=END_US,
            faults=faults,
            writes=[
                (at_us, False)
                for at_us in range(3 * S, END_US, write_interval_us)
            ],
            domains=[f"d{number % 3}" for number in range(HOSTS)],
            **plan,
        ),
        seed,
    ).run()


def describe(fleet):
    """Returns how many false claims each host made, and the first ones."""
    by_host = {
        host: sum(claim.host == host for claim in fleet.false_claims)
        for host in range(HOSTS)
    }
    first = "\n".join(map(str, fleet.false_claims[:5]))
    return f"late: {len(fleet.late)}; false claims by host: {by_host}\n{first}"


# A reader whose link gets more than it carries goes on relaying reads, each of
# them seconds old when it arrives.
@pytest.mark.parametrize("delay_us", [2 * S, 3 * S, 4 * S])
@pytest.mark.parametrize("slow", [READERS[:1], READERS])
def test_followers_know_how_long_a_read_was_on_its_way(slow, delay_us):
    queue = network.Fault("delay", FAULT_US, END_US, slow, delay_us=delay_us)
    fleet = run_fleet([queue])
    assert not fleet.false_claims, describe(fleet)


def test_followers_leave_a_reader_whose_reads_arrive_late():
    queue = network.Fault(
        "delay", FAULT_US, END_US, READERS[:1], delay_us=4 * S
    )
    fleet = run_fleet([queue])
    assert not fleet.late, describe(fleet)


# The store limits the size of a response, so that a host that has missed many
# records needs several reads.
@pytest.mark.parametrize("harmed", [range(HOSTS), READERS])
def test_read_that_does_not_reach_the_end_of_the_topic_is_not_complete(harmed):
    cut = network.Fault("path", FAULT_US, FAULT_US + 5 * S, tuple(harmed))
    fleet = run_fleet([cut], write_interval_us=S // 4, records_per_read=2)
    assert not fleet.false_claims, describe(fleet)


def test_rest_of_a_long_topic_is_read_at_once(make_published_host):
    host = make_published_host()
    document = published_host.document()
    reads = len(host.effects_of(effects.ReadStore))
    host.feed(
        events.ConfigurationRead,
        document,
        host.next_offset + 1,
        is_complete=False,
    )
    (read,) = host.effects_of(effects.ReadStore)[reads:]
    assert read.delay_us == 0


def test_route_in_the_unread_rest_of_a_topic_is_not_refused_for_good(
    make_published_host,
):
    host = make_published_host()
    host.feed(
        events.ConfigurationRead,
        published_host.document(),
        host.next_offset + 1,
        is_complete=False,
    )
    assert outdated.refusal_of(host) == REFUSED_FOR_NOW


# A newer configuration may have made the route public.
def test_request_without_a_key_is_not_refused_for_good_by_an_old_version():
    host = test_following.FollowingHost()
    organisation = published.Organisation("o", frozenset({"digest"}))
    document = attrs.evolve(
        published_host.document(), organisations=(organisation,)
    )
    host.relay_reads(configured=document, entries=[published_host.entry(0)])
    assert outdated.refusal_of(host, "/s/x") == (401, "unknown_key")
    outdated.hear_nothing(host)
    refusal = outdated.refusal_of(host, "/s/x", is_held=True)
    assert refusal == REFUSED_FOR_NOW


# A reader relays the copy of a read that was cut to a host that starts.
def test_route_is_not_refused_for_good_by_a_first_read_that_was_cut():
    host = test_following.FollowingHost()
    host.feed(
        events.ConfigurationRead,
        published_host.document(),
        1,
        relayed=events.RelayedRead(host.stream, 0),
        is_complete=False,
    )
    assert outdated.refusal_of(host) == REFUSED_FOR_NOW


# A store may answer a read that waits only at the end of its wait, although a
# record has come meanwhile.
@pytest.mark.parametrize("missed_wakes", [0.5, 1.0])
def test_waits_that_miss_records_are_not_taken_for_complete(missed_wakes):
    fleet = run_fleet([], write_interval_us=S // 2, missed_wakes=missed_wakes)
    assert not fleet.false_claims, describe(fleet)
    assert not fleet.late, describe(fleet)


@pytest.mark.parametrize("frozen", [READERS[:1], READERS, (5,), (0, 5)])
@pytest.mark.parametrize("length_us", [S * 9 // 10, S * 12 // 10, 5 * S])
def test_host_knows_its_age_after_a_freeze(frozen, length_us):
    freeze = network.Fault("freeze", FAULT_US, FAULT_US + length_us, frozen)
    fleet = run_fleet([freeze], write_interval_us=S // 4)
    assert not fleet.false_claims, describe(fleet)


@pytest.mark.parametrize(
    "versions",
    [
        pytest.param((9, 10), id="one more digit"),
        pytest.param((9, 16, 4_096), id="uneven steps"),
        pytest.param((0x7FFF_FFFF, 0x8000_0000, 0xFFFF_FFFF), id="highest bit"),
        pytest.param((10, 9), id="older one written again"),
        pytest.param((10, 10), id="same one written again"),
    ],
)
@pytest.mark.parametrize("is_snapshot", [False, True])
def test_newest_version_of_a_burst_is_read(versions, is_snapshot):
    records = [
        store_records.Record(
            store_decoder.CONFIGURATION_KEY,
            json.dumps(
                platform_documents.configuration_document(
                    version, "h.example", {"r": ("/s/", "idempotent")}
                )
            ).encode(),
            offset,
        )
        for offset, version in enumerate(versions)
    ]
    event = store_decoder.Decoder().decode_outcome(
        0,
        store_state.Source.CONFIGURATION,
        store_records.Batch(records, len(records), is_snapshot),
        None,
    )
    assert event.document.version == max(versions)
    assert event.newest_is_decodable
