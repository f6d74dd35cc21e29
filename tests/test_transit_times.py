"""Bounds of the transit times of relayed reads."""

import pytest

from fireflyspindle.adapters import transit_times


def receive(transit, sent_s, received_s):
    """Returns the bound of a line in milliseconds."""
    sent_ms, received_us = round(sent_s * 1000), round(received_s * 1e6)
    return transit.longest_ms(sent_ms, received_us)


# The clock of a paused virtual machine may stop, and a line would then seem to
# be newer than it is until the stream is replaced.
def test_line_that_arrives_before_it_was_sent_ends_the_stream():
    transit = transit_times.TransitTimes(requested_us=0)
    assert receive(transit, 50.0, 0.1) == 100
    with pytest.raises(ValueError, match="clock"):
        receive(transit, 55.0, 3.1)


def test_clocks_that_drift_do_not_end_the_stream():
    transit = transit_times.TransitTimes(requested_us=0)
    assert receive(transit, 50.0, 0.001) == 1
    assert receive(transit, 350.0, 299.8) == 0
