"""Hosts follow readers that are a long round trip away.

A bound on the transit time of each line that includes a whole round trip must
not make followers take readers for silent which relay every read in time.
"""

import pytest

import configuration_network as network
from fireflyspindle.core import effects
import test_claimed_age

S = 1_000_000
HOSTS = test_claimed_age.HOSTS
START_US = 8 * S


def follows_and_reads(fleet):
    """Returns the streams and reads that hosts other than readers began."""
    begun = [
        effect
        for at_us, host, effect in fleet.trace
        if at_us > START_US and host >= network.READERS
    ]
    streams = sum(isinstance(e, effects.FollowReader) for e in begun)
    reads = sum(isinstance(e, effects.ReadStore) for e in begun)
    return streams, reads


@pytest.mark.parametrize("round_trip_s", [0.1, 0.2, 0.3])
def test_followers_stay_with_readers_far_away(monkeypatch, round_trip_s):
    monkeypatch.setattr(network, "LINK_LATENCY_S", round_trip_s / 2)
    fleet = test_claimed_age.run_fleet([], write_interval_us=3 * S)
    assert follows_and_reads(fleet) == (0, 0)
    assert not fleet.late
