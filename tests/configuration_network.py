"""A store and connections between hosts, in virtual time and with faults."""

import asyncio
import contextlib
import selectors

import aiohttp
import attrs
import yarl

import configuration_store
from fireflyspindle.adapters import store_feed_client
from fireflyspindle.platform import store_client

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
        kind: "store": the store fails for these hosts. "restart": the store
            ends and starts again, for all hosts. "path": these hosts have no
            path to the store. "link": there is no link between these
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
        records: What becomes of the records, for "restart"; one of
            `configuration_store.RESTARTS`.
        unacknowledged_us: Time before the start at which a version is written
            that the store loses, for `configuration_store.RECORD_LOST`; 0 if
            there is none.
    """

    kind: str
    start_us: int
    end_us: int
    hosts: tuple[int, ...]
    how: str = "hang"
    readers: tuple[int, ...] = ()
    delay_us: int = 0
    records: str = configuration_store.KEPT
    unacknowledged_us: int = 0

    def disturbs(self, host: int) -> bool:
        """Whether a host is not in touch because of the fault."""
        if self.kind in ("store", "restart"):
            return True
        both_readers = self.kind == "link" and host < READERS
        return host in self.hosts or (both_readers and host in self.readers)


@attrs.define(frozen=True)
class Append:
    """A record that is written besides the versions.

    Attributes:
        at_us: Time.
        topic: Name of the topic.
        key: The key.
        value: The value; None removes the key.
        acknowledged: Whether the store acknowledges it; a restart may lose the
            others.
    """

    at_us: int
    topic: str
    key: str
    value: bytes | None
    acknowledged: bool = True


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
        appends: Further records.
        keeps_connections: Whether the store keeps connections open between
            requests.
    """

    hosts: int
    end_us: int
    faults: list[Fault]
    writes: list[tuple[int, bool]]
    domains: list[str]
    missed_wakes: float = 0.0
    records_per_read: int | None = None
    appends: list[Append] = attrs.field(factory=list)
    keeps_connections: bool = True


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

    def stand_still(self, duration_s: float) -> None:
        """Lets time pass in which the loop handles nothing."""
        self._virtual.now_s += duration_s


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
        self.fleet.lines_sent.append(
            (
                self.fleet.now_us,
                self.reader.number,
                self.follower.number,
                len(line),
            )
        )
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


class StoreClient(store_client.StoreClient):
    """Reads the stand-in store on behalf of one host.

    Everything but the exchange of one request and its response is real.
    """

    def __init__(self, fleet, host):
        self.fleet = fleet
        self.host = host
        # Run of the store for each open connection that is not in use.
        self._connections = []

    async def _get(self, path, query, progress):
        """Sends a request and returns the status and the body."""
        self.fleet.store_calls.append(
            (self.fleet.now_us, self.host.number, path)
        )
        run = self.fleet.store_run
        if run in self._connections:
            self._connections.remove(run)
        elif hasattr(progress, "opened_connection"):
            progress.opened_connection = True
        await asyncio.sleep(STORE_LATENCY_S)
        try:
            response = await self._answer(path, query, run)
            if self.fleet.plan.keeps_connections:
                self._connections.append(run)
        except aiohttp.ClientError:
            await self.host.running.wait()
            raise
        await self.host.running.wait()
        return response

    async def _answer(self, path, query, run):
        topic_name = query["topic"]
        offset = int(query.get("start-key", 0))
        wait_s = int(query.get("wait-ms", 0)) / 1000
        end_s = self.fleet.loop.time() + wait_s
        waited = False
        while True:
            how = self.fleet.store_fault(self.host.number)
            if how == "hang":
                await asyncio.Event().wait()
            if how == "reset" or run != self.fleet.store_run:
                return self._fail("reset")
            if how and not waited:
                return self._fail(how)
            topic = self.fleet.topics[topic_name]
            now_s = self.fleet.loop.time()
            is_listing = path == "/log-newest"
            if is_listing or topic.end_offset > offset or now_s >= end_s:
                if how:
                    return self._fail(how)
                if is_listing:
                    return topic.list_newest(query.get("after", ""))
                return topic.read(offset, self.fleet.plan.records_per_read)
            waited = True
            if self.fleet.random.random() < self.fleet.plan.missed_wakes:
                await asyncio.sleep(end_s - now_s)
                continue
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(end_s - now_s):
                    await self.fleet.changed.wait()

    def _fail(self, how):
        if self.fleet.path_fault(self.host.number):
            raise aiohttp.ClientOSError("no path")
        if how == "reset":
            raise aiohttp.ClientOSError("reset")
        return 503, b""
