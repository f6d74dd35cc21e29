"""Requests at a gate host whose configuration may be out of date."""

import pytest

from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import held_calls
from fireflyspindle.core import store_state
from fireflyspindle.testing import store as store_lib
import platform_driver
import published_driver as published_host
import test_following
import wire

APPLY_LIMIT_US = 2_000_000
CONFIGURATION = store_state.Source.CONFIGURATION
ANSWER = effects.AnswerCaller


@pytest.fixture
def follower():
    """Returns a host that has read version 1 through a reader."""
    host = test_following.FollowingHost()
    host.relay_reads(
        configured=published_host.document(), entries=[published_host.entry(0)]
    )
    return host


def refusal_of(host, path="/added/x", is_held=False):
    """Returns the status and error that a request is refused with.

    Args:
        host: The host.
        path: Path of the request.
        is_held: Whether the host waits for a read before it refuses.
    """
    answered = [answer.call_id for answer in host.effects_of(ANSWER)]
    call_id = 1 + max([*host.state.calls, *answered], default=0)
    host.call_arrives(call_id, path=path)
    if is_held:
        assert host.gate_answer(call_id) is None
        host.advance(held_calls.MAX_HOLD_US)
    answer = host.gate_answer(call_id)
    return answer.status, answer.error


def read_in_vain(host):
    """Lets the reads of the host and of its reader fail for a while."""
    host.fail_reads_for(APPLY_LIMIT_US, CONFIGURATION)


def hear_nothing(host):
    """Advances time while the host neither reads nor hears anything."""
    host.advance(APPLY_LIMIT_US)


def lack_large_records(host):
    """Lets the reader leave out the newest configuration."""
    host.omit_records(CONFIGURATION, next_offset=5)


@pytest.mark.parametrize(
    "fall_behind", [read_in_vain, hear_nothing, lack_large_records]
)
def test_route_that_an_old_configuration_lacks_is_not_refused_for_good(
    follower, fall_behind
):
    fall_behind(follower)
    is_held = fall_behind is hear_nothing
    refusal = refusal_of(follower, is_held=is_held)
    assert refusal == (503, "configuration_outdated")
    (answer,) = follower.effects_of(effects.AnswerCaller)
    assert answer.outcome is effects.Outcome.NOT_RUN
    assert answer.retry_after_ms is not None


def test_host_started_in_an_outage_does_not_trust_the_copy_of_its_reader():
    host = test_following.FollowingHost()
    host.relay_reads(age_us=5_000_000, configured=published_host.document())
    refusal = refusal_of(host, is_held=True)
    assert refusal == (503, "configuration_outdated")


def test_response_that_a_frozen_host_reads_late_is_not_taken_for_new(
    make_published_host,
):
    host = make_published_host()
    host.reads_go_on = False
    read = host.effects_of(effects.ReadStore)[-1]
    host.advance(read.delay_us)
    host.now_us += APPLY_LIMIT_US + 1
    host.feed(events.ConfigurationRead, None, host.next_offset)
    refusal = refusal_of(host, is_held=True)
    assert refusal == (503, "configuration_outdated")


def test_known_routes_are_served_from_an_old_configuration(follower):
    read_in_vain(follower)
    assert follower.arrive_and_send(1) is not None


def test_unknown_route_is_refused_for_good_while_a_reader_relays(follower):
    for _ in range(8):
        follower.advance(test_following.READ_WAIT_US)
        assert refusal_of(follower) == (404, "no_route")
        follower.relay_reads()


def test_unknown_route_is_refused_for_good_again_after_an_outage(follower):
    read_in_vain(follower)
    follower.relay_reads()
    assert refusal_of(follower) == (404, "no_route")


async def test_unknown_route_is_not_refused_for_good_by_undecodable_version():
    async with platform_driver.running(
        platform_driver.server_behaviour()
    ) as platform:
        platform.store.write(store_lib.CONFIGURATION_TOPIC, "config", b"{")
        decoder = platform.host._store_sync.decoder
        await wire.until(lambda: "config" in decoder.undecodable)
        response = await platform.send_request(
            platform_driver.request("/added/1")
        )
    assert response.first_line.split()[1] == b"503"
