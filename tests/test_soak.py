"""Tests of the fault soak: a short run, and that its checks can fail."""

import asyncio
import os
import random
import tomllib
import types

import pytest
import pytest_asyncio

from fireflyspindle import testing
from fireflyspindle.adapters import store_records
from fireflyspindle.bench import commands
from fireflyspindle.bench import soak
from fireflyspindle.bench import soak_callers
from fireflyspindle.bench import soak_checks
from fireflyspindle.bench import soak_gates
from fireflyspindle.bench import soak_store
from fireflyspindle.platform import header_profile
from fireflyspindle.platform import store_client
from fireflyspindle.testing import platform_server
from fireflyspindle.testing import store as store_lib
from fireflyspindle.testing import tcp_proxy

# Seeds that have failed in short runs, with the cause.
REGRESSIONS: dict[int, str] = {
    501: "gate hosts that followed each other confirmed stale reads in a cycle",
    # Seed 7 has the other cause of the same incident: reads that stayed
    # suspended after an outage while those of the crash topic failed.
    10: "a position outlived a record that the store lost as it was killed",
    8214: "reads of a store that answered after 1.41 s never ended in success",
}
# The same for longer runs of more gate hosts.
LONG_REGRESSIONS: dict[int, str] = {
    9: "readers waited for each other to detect that the store was back",
}


def check_report(report):
    """Checks that a run had faults and no violation."""
    seen = [*report.violations, "faults:", *report.faults]
    assert report.violations == [], "\n".join(seen)
    assert report.served > 0
    assert report.faults


@pytest.mark.parametrize("seed", [7, *REGRESSIONS])
async def test_short_run_has_no_violations(seed):
    check_report(await soak.Soak(seed, 5.0, hosts=2, servers=4).run())


@pytest.mark.parametrize("seed", LONG_REGRESSIONS)
async def test_longer_run_has_no_violations(seed):
    check_report(await soak.Soak(seed, 15.0, hosts=6, servers=6).run())


@pytest.fixture
def callers():
    """Callers that have sent no request."""
    return soak_callers.Callers([], random.Random(1))


@pytest.mark.parametrize(
    ("at_most_once", "status", "runs", "violations"),
    [
        (True, 200, {"q": 1}, []),
        (True, 200, {"q": 2}, ["ran 2 times"]),
        (False, 200, {"q": 2}, []),
        (True, 503, {"q": 1}, ["got status 503 but ran"]),
        (True, 421, {"q": 1}, ["got status 421 but ran"]),
        (True, 502, {"q": 1}, []),
        (False, 200, {}, ["never ran"]),
        (True, 404, {}, ["got status 404"]),
        (False, 401, {}, ["got status 401"]),
        (True, 0, {"q": 1}, []),
        (True, 0, {"x": 1}, ["ran but was never sent"]),
    ],
)
def test_wrong_run_count_is_a_violation(
    callers, at_most_once, status, runs, violations
):
    callers.results["q"] = soak_callers.CallResult(at_most_once, status)
    actual = callers.check_runs(runs)
    assert len(actual) == len(violations)
    for line, text in zip(actual, violations, strict=True):
        assert text in line


@pytest.mark.parametrize(
    ("body", "response_id", "signature", "violations"),
    [
        (platform_server.response_body("q"), "q", "s.q", 0),
        (platform_server.response_body("x"), "q", "s.q", 1),
        (platform_server.response_body("q"), "x", "s.q", 1),
        (platform_server.response_body("q"), "q", "s.x", 1),
    ],
)
def test_response_of_another_request_is_a_violation(
    callers, body, response_id, signature, violations
):
    head = (
        f"HTTP/1.1 200 OK\r\n{header_profile.REQUEST_ID}: {response_id}\r\n"
        f"{header_profile.SERVER_SIGNATURE}: {signature}"
    )
    response = testing.RawMessage(head.encode(), body)
    callers._check_response("q", 200, response)
    assert len(callers.violations) == violations


@pytest_asyncio.fixture
async def configuration_check():
    """Versions 1 and 2, the second written 10 s ago."""
    now_s = asyncio.get_running_loop().time()
    check = soak_checks.ConfigurationCheck(soak_checks.StoreObservation())
    check._written_s = {1: now_s - 60, 2: now_s - 10}
    return check


@pytest.mark.parametrize(
    ("version", "status", "after_s", "newest_served", "violations"),
    [
        (2, 200, 3.0, 0, 0),
        (2, 404, 2.4, 0, 0),
        (2, 404, 3.0, 0, 1),
        (1, 200, 2.4, 0, 0),
        (1, 200, 3.0, 0, 1),
        (1, 404, 3.0, 0, 0),
        (2, 404, 0.1, 2, 1),
        (1, 200, 0.1, 2, 1),
    ],
)
async def test_late_or_reverted_configuration_is_a_violation(
    configuration_check, version, status, after_s, newest_served, violations
):
    gate = soak_checks.GateObservation("g", newest_served=newest_served)
    sent_s = configuration_check._written_s[2] + after_s
    configuration_check.check_response(gate, version, 2, status, sent_s)
    assert len(configuration_check.violations) == violations


@pytest.mark.parametrize("place", ["store", "path", "host"])
async def test_configuration_may_be_late_after_a_fault(
    configuration_check, place
):
    fault_s = configuration_check._written_s[2] + 1.0
    gate = soak_checks.GateObservation("g")
    match place:
        case "store":
            configuration_check._store.last_fault_s = fault_s
        case "path":
            gate.last_path_fault_s = fault_s
        case _:
            gate.last_fault_s = fault_s
    configuration_check.check_response(gate, 2, 2, 404, fault_s + 3.4)
    assert configuration_check.violations == []
    configuration_check.check_response(gate, 2, 2, 404, fault_s + 3.6)
    assert len(configuration_check.violations) == 1


# A check that skips 503 and lost answers misses a host that never serves a
# version.
@pytest.mark.parametrize(
    ("status", "after_s", "probes", "violations"),
    [
        (503, 3.0, 5, 1),
        (0, 3.0, 5, 1),
        (404, 3.0, 5, 1),
        (504, 3.0, 5, 1),
        (503, 2.4, 5, 0),
        (503, 3.0, 4, 0),
        (500, 3.0, 5, 0),
        (200, 3.0, 5, 0),
    ],
)
async def test_version_that_is_not_served_is_a_violation(
    configuration_check, status, after_s, probes, violations
):
    gate = soak_checks.GateObservation("g")
    sent_s = configuration_check._written_s[2] + after_s
    for _ in range(probes):
        configuration_check.check_served(gate, 2, status, sent_s)
    assert len(configuration_check.violations) == violations


# Guards against hosts that know an old version and run what it allows.
@pytest.mark.parametrize(
    ("services", "violations"),
    [
        ({soak_callers.OTHER_SERVICE}, 1),
        ({"s"}, 0),
        ({"s", "t"}, 1),
        (set(), 0),
    ],
)
async def test_request_run_by_the_old_service_is_a_violation(
    configuration_check, monkeypatch, services, violations
):
    async def fetch(_address, _head):
        return 200

    monkeypatch.setattr(configuration_check, "_fetch_status", fetch)
    gate = soak_checks.GateObservation("g")
    # Version 2 leads to the service "s".
    await configuration_check._probe_moved(gate)
    (request_id,) = configuration_check.probe_addresses
    found = configuration_check.check_moved({request_id: services})
    assert len(found) == violations
    # The store has version 3, which leads to the other one, and may have told
    # hosts of it.
    configuration_check.on_submitted(3)
    await configuration_check._probe_moved(gate)
    *_, request_id = configuration_check.probe_addresses
    other = {request_id: {soak_callers.OTHER_SERVICE}}
    assert configuration_check.check_moved(other) == []


@pytest.mark.parametrize(
    ("field", "after_s", "violations"),
    [
        ("last_stop_s", 3.4, 0),
        ("last_stop_s", 3.6, 1),
        ("last_path_fault_s", 3.4, 0),
        ("last_path_fault_s", 3.6, 1),
        ("last_passed_on_s", 2.4, 0),
        ("last_passed_on_s", 2.6, 1),
    ],
)
async def test_version_may_not_be_served_after_a_fault(
    configuration_check, field, after_s, violations
):
    at_s = configuration_check._written_s[2] + 3.0
    gate = soak_checks.GateObservation("g")
    setattr(gate, field, at_s)
    for _ in range(5):
        configuration_check.check_served(gate, 2, 503, at_s + after_s)
    assert len(configuration_check.violations) == violations


@pytest.mark.parametrize(
    ("delay_s", "slow_since_s", "last_fault_s", "due_s"),
    [
        # Long after the start of the slowness and the last fault.
        (1.0, 0.0, 0.0, 105.0),
        (1.5, 0.0, 0.0, 106.0),
        (1.6, 0.0, 0.0, float("inf")),
        # Soon after either.
        (1.0, 99.0, 0.0, 109.0),
        (1.0, 0.0, 98.0, 108.0),
        (1.0, None, 0.0, 102.0),
    ],
)
def test_slow_store_extends_the_limit_on_configurations(
    delay_s, slow_since_s, last_fault_s, due_s
):
    store = soak_checks.StoreObservation(
        slow_since_s=slow_since_s, slow_delay_s=delay_s
    )
    assert store.due_s(100.0, last_fault_s) == due_s


@pytest.mark.parametrize(
    ("status", "runs", "sent_s", "ended_s", "faults", "violations"),
    [
        (0, 1, 10.5, 10.7, [], 1),
        (0, 1, 9.0, 10.1, [], 1),
        (0, 0, 10.5, 10.7, [], 0),
        (200, 1, 10.5, 10.7, [], 0),
        (0, 1, 8.0, 9.9, [], 0),
        (0, 1, 12.5, 12.7, [], 0),
        (0, 1, 10.5, 10.7, [("g", 10.6, 11.0)], 0),
        (0, 1, 10.5, 10.7, [("", 10.0, 11.0)], 0),
        (0, 1, 10.5, 10.7, [("h", 10.0, 11.0)], 1),
    ],
)
def test_request_cut_by_a_planned_stop_is_a_violation(
    status, runs, sent_s, ended_s, faults, violations
):
    result = soak_callers.CallResult(True, status, "g", sent_s, ended_s)
    stops = [soak_checks.Span("g", 10.0, 12.0)]
    fault_spans = [soak_checks.Span(*fault) for fault in faults]
    actual = soak_checks.find_requests_cut_by_stops(
        {"q": result}, {"q": runs}, stops, fault_spans
    )
    assert len(actual) == violations


@pytest.mark.parametrize(
    ("status", "ended_s", "work_end_s", "faults", "violations"),
    [
        (502, 11.0, 11.5, [], 1),
        (504, 11.0, 11.5, [], 1),
        # The server had ended its work.
        (502, 11.6, 11.5, [], 0),
        # The deadline had come.
        (504, 12.4, 12.6, [], 0),
        (503, 11.0, 11.5, [], 0),
        (200, 11.0, 11.5, [], 0),
        (502, 11.0, 11.5, [("", 10.0, 10.7)], 0),
    ],
)
def test_own_answer_while_a_server_works_is_a_violation(
    status, ended_s, work_end_s, faults, violations
):
    result = soak_callers.CallResult(False, status, "g", 10.5, ended_s)
    actual = soak_checks.find_own_answers_in_stops(
        {"q": result},
        {"q": platform_server.Work(10.6, work_end_s)},
        [soak_checks.Span("g", 10.0, 13.0)],
        [soak_checks.Span(*fault) for fault in faults],
    )
    assert len(actual) == violations


def make_gate(directory, number=0):
    """Returns a gate host whose process has not been started."""
    return soak_gates.Gate(
        name=f"gate-{number}",
        settings=directory / "settings",
        observation=soak_checks.GateObservation("g"),
        control_proxy=tcp_proxy.TcpProxy("127.0.0.1:1"),
        store_proxy=tcp_proxy.TcpProxy("127.0.0.1:1"),
        grace_s=6,
        log=directory / "log",
    )


@pytest.mark.parametrize(
    ("sent_s", "ended_s", "violations"),
    [
        (11.2, 12.6, 0),
        # Before the last sixth of the grace.
        (11.2, 12.4, 1),
        # Sent when the host had no time left for it.
        (11.7, 12.6, 1),
    ],
)
def test_work_at_the_end_of_a_stop_is_excused_if_it_was_sent_early(
    sent_s, ended_s, violations
):
    result = soak_callers.CallResult(False, 502, "g", sent_s, ended_s)
    actual = soak_checks.find_own_answers_in_stops(
        {"q": result},
        {"q": platform_server.Work(sent_s, 13.5)},
        [soak_checks.Span("g", 10.0, 13.0, 3.0)],
        [],
    )
    assert len(actual) == violations


async def test_gate_host_ended_by_two_faults_starts_once(tmp_path, monkeypatch):
    class Running:
        returncode = None

    async def create(*_args, **_kwargs):
        await asyncio.sleep(0)
        created.append(Running())
        return created[-1]

    created = []
    monkeypatch.setattr(asyncio, "create_subprocess_exec", create)
    gate = make_gate(tmp_path)
    await asyncio.gather(gate.start(), gate.start())
    assert len(created) == 1
    assert gate.observation.starts == 1
    created[0].returncode = -9
    await gate.start()
    assert len(created) == 2


@pytest.mark.parametrize(
    ("arrivals_s", "most"),
    [
        ([], 0),
        # Before every gate host knows the limit.
        ([10.1, 10.2, 10.3, 13.5], 1),
        ([10.6, 12.0, 12.9], 0),
        ([10.6, 12.0, 13.1], 3),
        ([10.6, 12.0, 14.7, 15.9], 3),
        ([13.5, 20.5], 1),
    ],
)
def test_arrivals_at_a_server_with_a_limit_are_counted(arrivals_s, most):
    assert soak_checks.most_arrivals(arrivals_s, 10.0, 20.0) == most


@pytest.mark.parametrize(("limit_per_s", "allowed"), [(4.5, 32.0), (0.0, 5.0)])
def test_allowed_arrivals_follow_from_the_limit(limit_per_s, allowed):
    assert soak_checks.allowed_arrivals(limit_per_s) == allowed


def test_other_build_without_sources_is_refused(tmp_path, capsys):
    assert commands.soak(other_build=str(tmp_path)) == 2
    assert "--other-build" in capsys.readouterr().err


@pytest.mark.parametrize(
    ("status", "ended_s", "fault_s", "violations"),
    [(0, 13.0, 1.0, 1), (0, 11.0, 1.0, 0), (200, 13.0, 1.0, 0), (0, 13, 11, 0)],
)
def test_request_without_an_answer_is_a_violation(
    status, ended_s, fault_s, violations
):
    results = {"q": soak_callers.CallResult(False, status, "a", 10.0, ended_s)}
    faults = [soak_checks.Span("", fault_s, fault_s + 1)]
    found = soak_checks.find_requests_without_answer(results, faults)
    assert len(found) == violations


@pytest_asyncio.fixture
async def clients():
    """A store and the clients of two hosts, with the proxies before each."""
    store = testing.StandInStore()
    store.write(store_lib.CONFIGURATION_TOPIC, "config", {})
    server = testing.Server(store.application())
    address = await server.start()
    proxies = [tcp_proxy.TcpProxy(address) for _ in range(2)]
    clients = [
        store_client.StoreClient(await proxy.start()) for proxy in proxies
    ]
    yield store, proxies, clients
    for client in clients:
        await client.close()
    for proxy in proxies:
        await proxy.close()
    await server.close()


# A store that refuses some hosts while it serves others was not injected.
@pytest.mark.parametrize("fault", soak_store.PATH_FAULTS)
async def test_cut_path_leaves_the_paths_of_others(clients, fault):
    _, proxies, (cut, other) = clients
    topic = store_lib.CONFIGURATION_TOPIC
    proxies[0].fault = fault
    cut_read = asyncio.create_task(cut.read(topic, 0))
    assert isinstance(await other.read(topic, 0), store_records.Batch)
    if fault in (tcp_proxy.Fault.SILENCE, tcp_proxy.Fault.ONE_WAY):
        assert not (await asyncio.wait([cut_read], timeout=0.3))[0]
        cut_read.cancel()
    else:
        outcome = await cut_read
        assert isinstance(outcome, store_records.ReadFailed)
        assert (fault is tcp_proxy.Fault.REFUSE) == ("503" in outcome.reason)
    proxies[0].fault = tcp_proxy.Fault.NONE
    assert isinstance(await cut.read(topic, 0), store_records.Batch)


@pytest.mark.parametrize("offset", [0, None])
async def test_reads_of_one_topic_fail_alone(clients, offset):
    store, _, (client, _) = clients
    store.topic_statuses = {store_lib.TARGETS_TOPIC: 404}
    failed = await client.read(store_lib.TARGETS_TOPIC, offset)
    assert isinstance(failed, store_records.ReadFailed)
    served = await client.read(store_lib.CONFIGURATION_TOPIC, offset)
    assert isinstance(served, store_records.Batch)


def test_paths_of_the_readers_are_cut_alone_at_times(tmp_path):
    faults = soak_store.StoreFaults(testing.StandInStore(), 1, print, print)
    faults._gates = [make_gate(tmp_path, number) for number in range(5)]
    names = [[gate.name for gate in faults._choose_gates()] for _ in range(100)]
    assert names.count(["gate-0", "gate-1", "gate-2"]) >= 10
    assert all(1 <= len(chosen) <= 4 for chosen in names)


# Without the record, a machine that is too busy looks like a host that hangs.
async def test_gate_host_without_a_processor_is_recorded(tmp_path, monkeypatch):
    waits_s = [0.1, 0.2, 1.4, 1.7]

    def next_wait_s(pid):
        if pid == os.getpid():
            return 0.0
        return waits_s.pop(0) if len(waits_s) > 1 else waits_s[0]

    monkeypatch.setattr(soak_gates, "processor_wait_s", next_wait_s)
    monkeypatch.setattr(soak_gates, "SAMPLE_S", 0.01)
    gates = [make_gate(tmp_path, number) for number in range(2)]
    gates[0].process = types.SimpleNamespace(pid=0)
    records = []
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.2):
            await soak_gates.record_starvation(gates, records.append)
    assert records == ["gate-0 waited 1.20 s for a processor"]
    assert gates[0].observation.last_starved_s > 0
    assert gates[1].observation.last_starved_s < 0


@pytest.mark.parametrize(("status", "violations"), [(0, 0), (503, 1)])
async def test_starved_host_may_give_no_answer_but_no_refusal(
    configuration_check, status, violations
):
    sent_s = configuration_check._written_s[2] + 5.0
    gate = soak_checks.GateObservation("g", last_starved_s=sent_s - 1.0)
    for _ in range(5):
        configuration_check.check_served(gate, 2, status, sent_s)
    assert len(configuration_check.violations) == violations


# Guards against readers that all follow each other, so that none reads the
# store in all cases: a gate host and the others know it by other addresses.
async def test_one_reader_of_the_soak_is_the_first(tmp_path):
    gates = await soak_gates.make_gates(tmp_path, 5, "127.0.0.1:1")
    lower_readers = []
    for gate in gates[: soak_gates.READER_COUNT]:
        network = tomllib.loads(gate.settings.read_text())["network"]
        own_address = network["listen-addrs"]["control-addr"]
        assert own_address in network["seed-nodes"]
        lower_readers.append(
            sum(address < own_address for address in network["seed-nodes"])
        )
    for gate in gates:
        await gate.control_proxy.close()
        await gate.store_proxy.close()
    assert sorted(lower_readers) == list(range(soak_gates.READER_COUNT))
