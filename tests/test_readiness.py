"""When a gate host may take calls."""

import pytest

from fireflyspindle.core import events
from fireflyspindle.core import readiness
from fireflyspindle.core import reducer
from fireflyspindle.core import state as state_lib


def configuration_read():
    return events.LogRead(1, "configuration", [], 0, 0, 0)


def list_read():
    return events.HostListRead(1, [], [])


def list_failed():
    return events.HostListReadFailed(1)


@pytest.mark.parametrize(
    ("fed", "reason"),
    [
        ([], "neither the log nor a peer"),
        ([list_read()], "neither the log nor a peer"),
        ([configuration_read()], "the host list has not been read yet"),
        ([configuration_read(), list_failed()], "the host list has not been"),
        ([configuration_read(), list_read()], None),
        ([configuration_read(), *[list_failed()] * 3], None),
        ([configuration_read(), list_read(), events.StopRequested(2)], "stop"),
    ],
)
def test_host_is_ready_once_it_knows_enough(fed, reason):
    state = state_lib.new(state_lib.CoreSettings(host_id="gate-1"), seed=1)
    reducer.start(state, 0)
    for event in fed:
        reducer.reduce(state, event)
    found = readiness.not_ready_reason(state)
    assert found is None if reason is None else found.startswith(reason)


def test_sign_read_before_the_configuration_counts(make_host):
    host = make_host(targets=1)
    address = "10.0.9.9:80"
    sign = events.ListedHost("new", address, leaving=True)
    host.feed(events.HostListRead, [], [sign])
    host.publish("service", "s", {"targets": [{"address": address}]})
    assert host.state.services["s"].targets[address].leaving
