"""Entries of another writer among those of the targets."""

import asyncio
import json
import time

from aiohttp import web
import logbook
import pytest

from fireflyspindle import testing
from fireflyspindle.adapters import feed_lines
from fireflyspindle.adapters import host_list
from fireflyspindle.adapters import store_records
from fireflyspindle.adapters import target_client
from fireflyspindle.core import claim_records
from fireflyspindle.platform import store_client
from fireflyspindle.testing import platform_documents
from fireflyspindle.testing import store as store_lib
import platform_driver
import wire

CALLS = 12
# A call to a sound target takes milliseconds.
CALL_LIMIT_S = 1.0
HUGE = 10**400
# Stands for the address of a target that answers.
LIVE = "live"


def entry(address=LIVE, **members):
    """Returns an entry; members replace those of the whole or of a part."""
    whole = platform_documents.target_entry(address)
    for part in (whole["info"], whole["status"]):
        part |= {k: members.pop(k) for k in list(members) if k in part}
    return whole | members


def nested(depth):
    """Returns an entry with an unknown member that is nested deeply."""
    text = json.dumps(entry(unknown=[]))
    return text.replace("[]", "[" * depth + "]" * depth).encode()


ODD_ENTRIES = {
    "port out of range": ("i-odd", entry("127.0.0.1:99999")),
    "port zero": ("i-odd", entry("127.0.0.1:0")),
    "no address": ("i-odd", entry("999.0.0.1:80")),
    "no decimal digits": ("i-odd", entry("127.0.0.1:٨٠٨٠")),
    "huge start": ("i-odd", entry(born=HUGE)),
    "huge sequence": ("i-odd", entry(sequence=HUGE)),
    "huge warm-up": ("i-odd", entry(**{"cold-left-ms": HUGE})),
    "nested 500 deep": ("i-odd", nested(500)),
    "nested 900 deep": ("i-odd", nested(900)),
    "nested 990 deep": ("i-odd", nested(990)),
    "nested 5,000 deep": ("i-odd", nested(5_000)),
    "header in the id": ("i-odd\r\nX-Odd: 1", entry()),
    "surrogate": ("i-odd", entry(zone="\ud800")),
    "empty": ("i-odd", b" "),
}


async def work(request, writer):
    """Keeps the target busy, so that a call looks for another one."""
    await asyncio.sleep(0.03)
    writer.write(platform_driver.answer(request))


async def call(host, name):
    """Calls a host on a new connection; returns the status and the time."""
    caller = await testing.connect(host.data_path.server.address)
    started_s = time.monotonic()
    async with asyncio.timeout(wire.WAIT_S):
        response = await caller.ask(platform_driver.request(name=name))
    caller.close()
    return int(response.first_line.split()[1]), time.monotonic() - started_s


@pytest.mark.parametrize(
    ("key", "odd"), ODD_ENTRIES.values(), ids=list(ODD_ENTRIES)
)
async def test_odd_entry_harms_no_other_target(key, odd):
    # A host stopped reading the list, or calls waited for a target that
    # can't be reached until their deadline.
    log = logbook.TestHandler()
    server = testing.ScriptedTarget(platform_driver.server_behaviour(work))
    live = testing.ScriptedTarget(platform_driver.server_behaviour(work))
    later = testing.ScriptedTarget(platform_driver.server_behaviour())
    with log.applicationbound():
        async with platform_driver.reader_and_follower() as (store, *hosts):
            sound = platform_documents.target_entry(await server.start())
            if not isinstance(odd, bytes):
                odd = json.dumps(odd).encode()
            odd = odd.replace(LIVE.encode(), (await live.start()).encode())
            store.write(store_lib.TARGETS_TOPIC, key, odd)
            store.write(store_lib.TARGETS_TOPIC, "i-0", sound)
            for host in hosts:
                await wire.until(lambda h=host: "i-0" in registered(h))
            results = await asyncio.gather(
                *(
                    call(host, f"q{number}")
                    for host in hosts
                    for number in range(CALLS)
                )
            )
            later_entry = platform_documents.target_entry(await later.start())
            store.write(store_lib.TARGETS_TOPIC, "i-1", later_entry)
            for host in hosts:
                await wire.until(lambda h=host: "i-1" in registered(h))
                assert registered(host).keys() == {"i-0", "i-1"}
            for target in (server, live, later):
                await target.close()
    assert [status for status, _ in results] == [200] * len(results)
    assert max(elapsed_s for _, elapsed_s in results) < CALL_LIMIT_S
    codes = {record.kwargs.get("code") for record in log.records}
    assert "task_failed" not in codes
    assert "entry_unreadable" in codes


def registered(host):
    """Returns the targets that a host knows, by id."""
    return host.state.registered_targets


async def test_configuration_that_does_not_fit_ends_no_read():
    # The task that read the store ended with an exception, and the host stayed
    # on the configuration that it had.
    organisation = {"name": "o", "api-keys": ["k"], "rate-per-s": HUGE}
    odd = platform_driver.document(2) | {"tenants": [organisation]}
    sound = platform_driver.document(3)
    async with platform_driver.reader_and_follower() as (store, *hosts):
        store.write(store_lib.CONFIGURATION_TOPIC, "config", odd)
        await asyncio.sleep(0.1)
        store.write(store_lib.CONFIGURATION_TOPIC, "config", sound)
        for host in hosts:
            await wire.until(lambda h=host: h.state.rule_table.version == 3)


DEEP = "[" * 100_000
ODD_DOCUMENTS = {
    "nested": DEEP,
    "nested member": '{"version":1,"further":' + DEEP + "}",
    "infinite": '{"version":1,"writer":"w","number":Infinity,"wall_ms":0,'
    '"claims":[],"outcomes":[]}',
}


@pytest.mark.parametrize(
    "text", ODD_DOCUMENTS.values(), ids=list(ODD_DOCUMENTS)
)
def test_odd_batch_of_claims_is_an_error(text):
    # An exception ended the task that reads the log of claims.
    assert claim_records.decode(text).is_err()


@pytest.mark.parametrize("text", [DEEP, '{"gates":' + DEEP])
async def test_odd_host_list_is_ignored(text):
    # An exception ended the task that reads the list.
    async def respond(_request):
        return web.Response(text=text)

    app = web.Application()
    app.add_routes([web.get("/hosts", respond)])
    server = testing.Server(app)
    client = host_list.HostListClient(await server.start())
    assert await client.read() is None
    await client.close()
    await server.close()


@pytest.mark.parametrize(
    "line",
    [
        DEEP,
        '{"source":"targets","age-ms":0,"own":true,"records":[],'
        '"next-offset":Infinity,"from-offset":0,"whole":true}',
        '{"source":"targets","age-ms":0,"own":true,"records":[[]],'
        '"next-offset":1,"from-offset":0,"whole":true}',
    ],
)
def test_odd_line_of_a_feed_is_an_error(line):
    # Other exceptions ended the task that follows a reader without a word.
    with pytest.raises(ValueError, match="can't be read"):
        feed_lines.decode_line(line.encode())


@pytest.mark.parametrize("from_offset", [None, 0])
async def test_odd_answer_of_the_store_is_a_failure(from_offset):
    async def respond(_request):
        return web.Response(text=DEEP, status=200 if newest else 410)

    newest = from_offset is None
    app = web.Application()
    path = "/log-newest" if newest else "/log-read"
    app.add_routes([web.get(path, respond)])
    server = testing.Server(app)
    client = store_client.StoreClient(await server.start())
    outcome = await client.read(store_lib.TARGETS_TOPIC, from_offset)
    await client.close()
    await server.close()
    assert isinstance(outcome, store_records.ReadFailed)


@pytest.mark.parametrize("address", ["127.0.0.1:99999", "127.0.0.1:x"])
async def test_address_that_can_not_be_is_unreachable(address):
    # The call waited for its deadline, as no failure was reported.
    client = target_client.TargetClient(None, None, None)
    with pytest.raises(OSError, match="is no address"):
        await client.connect(address)
    client.close()
