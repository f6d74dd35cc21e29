"""A store and connections between hosts, in virtual time and with faults."""

import asyncio
import contextlib
import selectors

import aiohttp
import attrs
import yarl

from fireflyspindle.adapters import store_feed_client
from fireflyspindle.adapters import store_records

READERS = 3
# Latency of the store and of the links between hosts.
STORE_LATENCY_S = 0.004
LINK_LATENCY_S = 0.001
# Time between two looks at a link that is cut or a stream that is stalled.
POLL_INTERVAL_S = 0.01
CONNECT_TIMEOUT_S = store_feed_client.CONNECT_TIMEOUT_S


@attrs.define(frozen=True)
class Fault:
    """One fault.

    Attributes:
        kind: "store": the store fails for these hosts. "path": these hosts
            have no path to the store. "link": there is no link between these
            hosts and the readers in `readers`. "down", "freeze": the processes
            are killed or suspended. "reset", "stall": the streams to these
            hosts end, or deliver nothing more. "delay": a queue builds up on
            the links of these hosts, so that what they relay arrives later,
            by `delay_us` at most.
        start_us: Start.
        end_us: End.
        hosts: Numbers of the hosts.
        how: Of reads and connections: "refuse" fails them at once, "reset"
            also those in progress; "hang" leaves them without an answer.
        readers: Numbers of the readers, for "link".
        delay_us: Longest delay of a line, for "delay".
    """

    kind: str
    start_us: int
    end_us: int
    hosts: tuple[int, ...]
    how: str = "hang"
    readers: tuple[int, ...] = ()
    delay_us: int = 0

    def disturbs(self, host: int) -> bool:
        """Whether a host is not in touch because of the fault."""
        if self.kind == "store":
            return True
        both_readers = self.kind == "link" and host < READERS
        return host in self.hosts or (both_readers and host in self.readers)


@attrs.define
class Plan:
    """Faults and versions of a run.

    Attributes:
        hosts: Number of hosts, of which the first are readers.
        end_us: Time at which the run ends.
        faults: The faults.
        writes: Time of each new version, and whether it is large.
        domains: Failure domain of each host.
        missed_wakes: Share of the waiting reads that miss a record.
        records_per_read: Most records of a read; the store limits its size.
    """

    hosts: int
    end_us: int
    faults: list[Fault]
    writes: list[tuple[int, bool]]
    domains: list[str]
    missed_wakes: float = 0.0
    records_per_read: int | None = None


class _Selector(selectors.SelectSelector):
    """Advances the virtual time instead of waiting."""

    now_s = 1.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        assert timeout is not None, "nothing is scheduled"
        self.now_s += max(0.0, timeout)
        return []


class Loop(asyncio.SelectorEventLoop):
    """An event loop in virtual time."""

    def __init__(self) -> None:
        self._virtual = _Selector()
        super().__init__(self._virtual)

    def time(self) -> float:
        """Returns the virtual time."""
        return self._virtual.now_s


class Connection:
    """A stream of lines from a reader to a host that follows it."""

    def __init__(
        self,
        fleet,
        follower,
        reader,
    ):
        self.fleet = fleet
        self.follower = follower
        self.reader = reader
        self.closed = False
        self.stalled = False
        self.content = self._receive()
        self._lines: asyncio.Queue[tuple[float, bytes | None]] = asyncio.Queue()

    async def write(self, line: bytes) -> None:
        """Sends a line."""
        await self.reader.running.wait()
        if self.closed:
            raise ConnectionResetError
        self._lines.put_nowait((self.fleet.loop.time(), bytes(line)))

    def close(self) -> None:
        """Ends the stream; both ends notice."""
        self.closed = True
        self._lines.put_nowait((self.fleet.loop.time(), None))

    async def _receive(self):
        while True:
            sent_s, line = await self._lines.get()
            now_s = self.fleet.loop.time()
            latency_s = LINK_LATENCY_S + self.fleet.line_delay_s(
                self.reader.number
            )
            await asyncio.sleep(sent_s + latency_s - now_s)
            await self._wait_while_cut()
            if self.stalled:
                continue
            await self.follower.running.wait()
            if line is None:
                raise aiohttp.ClientConnectionResetError("reset")
            yield line

    async def _wait_while_cut(self) -> None:
        cut_s = self.fleet.loop.time()
        while self.fleet.link_fault(self.follower.number, self.reader.number):
            await asyncio.sleep(POLL_INTERVAL_S)
        cut_s = self.fleet.loop.time() - cut_s
        if cut_s:
            # The pauses between retransmissions grow with the time lost.
            await asyncio.sleep(self.fleet.random.uniform(0, cut_s))


class Response:
    """Stands in for the HTTP response with the lines of a feed."""

    def __init__(self, headers):
        self.headers = headers

    async def prepare(self, request):
        """Starts the response."""
        self.write = request.connection.write


class Session:
    """Stands in for the HTTP session that follows readers."""

    def __init__(self, fleet, host):
        self.fleet = fleet
        self.host = host

    @contextlib.asynccontextmanager
    async def get(self, url, params, **_options):
        """Opens a stream to a reader."""
        reader = self.fleet.hosts[int(yarl.URL(url).host.split(".")[3])]
        await asyncio.sleep(LINK_LATENCY_S)
        cut = self.fleet.link_fault(self.host.number, reader.number)
        if self.fleet.line_delay_s(reader.number) > CONNECT_TIMEOUT_S:
            cut = "hang"
        if cut == "hang":
            await asyncio.sleep(CONNECT_TIMEOUT_S)
        await self.host.running.wait()
        if cut or not reader.alive:
            raise aiohttp.ClientConnectionError("no connection")
        connection = Connection(self.fleet, self.host, reader)
        reader.serve(connection, params)
        self.host.connections = [connection]
        try:
            yield connection
        finally:
            connection.close()


class FeedClient(store_feed_client.FeedClient):
    """Follows readers through a stand-in session."""

    def __init__(self, session: Session) -> None:
        self._helper = None
        self._now_us = session.host.now_us
        self._session = session


class StoreClient:
    """Reads the stand-in store on behalf of one host."""

    def __init__(self, fleet, host):
        self.fleet = fleet
        self.host = host

    async def read(
        self, topic, from_offset, _first_offset=0, wait_ms=0, _progress=None
    ):
        """Reads as `StoreClient.read` does."""
        if from_offset is None:
            wait_ms = 0
        await asyncio.sleep(STORE_LATENCY_S)
        outcome = await self._answer(topic, from_offset, wait_ms)
        await self.host.running.wait()
        return outcome

    async def _answer(self, topic, from_offset, wait_ms):
        end_s = self.fleet.loop.time() + wait_ms / 1000
        waited = False
        while True:
            how = self.fleet.store_fault(self.host.number)
            if how == "hang":
                await asyncio.Event().wait()
            if how == "reset" or (how and not waited):
                return store_records.ReadFailed(self._reason(how))
            records = self.fleet.topics[topic]
            now_s = self.fleet.loop.time()
            if len(records) > (from_offset or 0) or now_s >= end_s:
                if how:
                    return store_records.ReadFailed(self._reason(how))
                return self._batch(records, from_offset)
            waited = True
            if self.fleet.random.random() < self.fleet.plan.missed_wakes:
                await asyncio.sleep(end_s - now_s)
                continue
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(end_s - now_s):
                    await self.fleet.changed.wait()

    def _reason(self, how):
        if self.fleet.path_fault(self.host.number):
            return "ClientOSError: no path"
        if how == "reset":
            return "ClientOSError: reset"
        return "response with status 503"

    def _batch(self, records, from_offset):
        if from_offset is not None:
            newer = records[from_offset:][: self.fleet.plan.records_per_read]
            next_offset = from_offset + len(newer)
            return store_records.Batch(
                newer,
                next_offset,
                False,
                from_offset,
                is_complete=next_offset == len(records),
            )
        newest = {record.key: record for record in records}
        live = [record for record in newest.values() if record.value]
        next_offset = max((record.offset + 1 for record in live), default=0)
        return store_records.Batch(live, next_offset, True)
