"""Readiness of a gate host."""

import pytest

from fireflyspindle.core import events
from fireflyspindle.core import readiness
from fireflyspindle.core import reducer
from fireflyspindle.core import state as state_lib


def configuration_read():
    return events.LogRead(1, "configuration", [], 0, 0, 0)


def host_list_read():
    return events.HostListRead(1, [], [])


def host_list_failed():
    return events.HostListReadFailed(1)


@pytest.mark.parametrize(
    ("fed_events", "reason"),
    [
        ([], "neither the log nor a peer"),
        ([host_list_read()], "neither the log nor a peer"),
        ([configuration_read()], "the host list has not been read yet"),
        (
            [configuration_read(), host_list_failed()],
            "the host list has not been",
        ),
        ([configuration_read(), host_list_read()], None),
        ([configuration_read(), *[host_list_failed()] * 3], None),
        (
            [configuration_read(), host_list_read(), events.StopRequested(2)],
            "stop",
        ),
    ],
)
def test_host_is_ready_once_configuration_and_host_list_are_read(
    fed_events, reason
):
    state = state_lib.new(state_lib.CoreSettings(host_id="gate-1"), seed=1)
    reducer.start(state, 0)
    for event in fed_events:
        reducer.reduce(state, event)
    found = readiness.not_ready_reason(state)
    assert found is None if reason is None else found.startswith(reason)


def test_target_listed_as_leaving_before_its_configuration_is_leaving(
    make_host,
):
    host = make_host(targets=1)
    address = "10.0.9.9:80"
    listed_target = events.ListedHost("new", address, leaving=True)
    host.feed(events.HostListRead, [], [listed_target])
    host.publish("service", "s", {"targets": [{"address": address}]})
    assert host.state.services["s"].targets[address].leaving
