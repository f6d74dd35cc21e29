"""Relays one gate host's reads of the platform's store to other gate hosts.

Each follower gets one streaming HTTP response of JSON lines. The first line
identifies the sender. Each further line is the outcome of a read of one
source: the records that the follower lacks, often none, or why the read
failed. While reads fail, a new follower first gets the records of the latest
successful read, so that a host can start during an outage. A line also has the
number of gate hosts when it is new to the follower, and the time at which it
was sent, so that the follower knows how long it was on its way.

Records are compressed for followers that ask for it: entries of targets, and
routes, resemble each other. Records whose total size is too large for the
hosts' narrow links are omitted: the line has the offset after them, and the
follower reads them from the store.
"""

import asyncio
from collections.abc import Callable, Iterator
import random
from typing import Any

from aiohttp import web
import attrs

from fireflyspindle.adapters import feed_lines
from fireflyspindle.adapters import store_records
from fireflyspindle.core import events

PATH = "/store-feed"
HOST_COUNT_PATH = "/hosts"
HELPERS_PATH = "/helpers"
# Most helpers that one response lists, chosen at random: many hosts may ask at
# the same time, and narrow links carry the responses.
MAX_LISTED_HELPERS = 8
# Time for which a host that asked because it is cut off is not listed.
CUT_OFF_US = 2_500_000
# Largest size of the records in a line, as sent.
MAX_RELAYED_BYTES = 8_192
# Longest time for which the records of one read, sent to all followers, may
# fill the link of this host.
MAX_FAN_OUT_S = 0.5
# Shortest delay of a read that followers are told of.
MIN_DELAY_US = 50_000
# Rate of that link if the settings don't state it.
DEFAULT_LINK_MBPS = 5.0

_JSON_LINES = "application/x-ndjson"


@attrs.define(frozen=True)
class _EncodedBatch:
    """A batch and the member of a line that holds its records."""

    batch: store_records.Batch
    member: bytes


@attrs.define
class _Source:
    """The reads of one source.

    Attributes:
        latest: The latest records.
        reads: Number of reads recorded.
        ended_us: Time at which the latest read ended.
        succeeded_us: Time at which the latest successful read ended.
        delay_us: Time that it took beyond its wait at the store.
        late_us: The same of a late read; `succeeded_us` is earlier by it.
        taken_us: Longest time that the latest successful read may have taken.
        failed: Why the latest read failed, if it did.
        own: Whether this host made the latest read.
        is_complete: Whether the latest successful read reached the end of the
            topic.
        encoded: Batches as sent to the followers since the latest change, by
            first offset and whether they are compressed.
    """

    latest: store_records.LatestRecords = attrs.field(
        factory=store_records.LatestRecords
    )
    reads: int = 0
    ended_us: int = 0
    succeeded_us: int = 0
    delay_us: int = 0
    late_us: int = 0
    taken_us: int = 0
    failed: store_records.ReadFailed | None = None
    own: bool = True
    is_complete: bool = True
    encoded: dict[tuple[int | None, bool], _EncodedBatch] = attrs.field(
        factory=dict
    )

    def apply(self, batch: store_records.Batch, now_us: int) -> bool:
        """Applies a read; see `LatestRecords.apply`."""
        self.encoded.clear()
        return self.latest.apply(batch, now_us)

    def lacks_records(self, offset: int | None) -> bool:
        """Whether a follower lacks records that have been read."""
        next_offset = self.latest.next_offset
        return next_offset is not None and (offset or 0) < next_offset

    def since(self, offset: int | None, deflate: bool) -> _EncodedBatch | None:
        """Returns the records from an offset on, encoded once for all."""
        key = (offset, deflate)
        if key not in self.encoded:
            batch = self.latest.since(offset)
            if batch is None:
                return None
            member = feed_lines.encode_records(batch.records, deflate)
            self.encoded[key] = _EncodedBatch(batch, member)
        return self.encoded[key]


@attrs.define(eq=False)
class _Stream:
    """The stream to one follower.

    Attributes:
        request: The follower's request.
        is_reader: Whether the follower is a reader too.
        unlimited: Whether the follower takes records of any size.
        deflate: Whether the follower takes compressed records.
        helper: Where the follower takes calls of other gate hosts, if it does.
        sources: Names of the sources that the follower knows.
    """

    request: web.Request
    is_reader: bool
    unlimited: bool
    deflate: bool
    helper: events.HelperAddress | None
    sources: frozenset[str]

    @property
    def connected(self) -> bool:
        """Whether the follower is connected.

        The response ends only at the first write after a disconnection.
        """
        transport = self.request.transport
        return transport is not None and not transport.is_closing()


class Feed:
    """Streams this host's reads of the store to its followers.

    Args:
        failure_domain: Failure domain of this host.
        sources: Names of the sources.
        now_us: Clock that also advances while the host is suspended.
        relay_address: Address at which this host takes calls of other gate
            hosts; empty if it takes none.
        link_mbps: Rate of this host's link, in Mbit/s.

    Attributes:
        gate_hosts: Number of gate hosts of the fleet, reported to the
            followers; None if unknown.
    """

    def __init__(
        self,
        failure_domain: str,
        sources: tuple[str, ...],
        now_us: Callable[[], int],
        relay_address: str = "",
        link_mbps: float = DEFAULT_LINK_MBPS,
    ) -> None:
        self.gate_hosts: int | None = None
        self._fan_out_bytes = int(link_mbps * 1e6 / 8 * MAX_FAN_OUT_S)
        self._relay_address = relay_address
        self._cut_off_until_us: dict[str, int] = {}
        self._streams: set[_Stream] = set()
        self._now_us = now_us
        self._failure_domain = failure_domain
        self._sources = {name: _Source() for name in sources}
        self._changed = asyncio.Event()
        self._closed = False

    def routes(self) -> list[web.RouteDef]:
        """Returns the routes of the stream and of the host count."""
        return [
            web.get(PATH, self._on_follow),
            web.get(HOST_COUNT_PATH, self._on_count),
            web.get(HELPERS_PATH, self._on_list_helpers),
        ]

    @property
    def followers(self) -> int:
        """Number of connected followers."""
        return sum(stream.connected for stream in self._streams)

    def count_hosts(self) -> int:
        """Returns the number of followers that are no readers, and this host.

        Each gate host is counted by exactly one reader.
        """
        return 1 + sum(
            stream.connected for stream in self._streams if not stream.is_reader
        )

    def list_helpers(self, cut_off: str = "") -> list[events.HelperAddress]:
        """Returns some hosts that may carry calls for others.

        Each gate host but the readers follows exactly one reader, and each
        reader lists itself.

        Args:
            cut_off: Address at which the asking host would take calls, if it
                can't carry any; otherwise empty.
        """
        now_us = self._now_us()
        if cut_off:
            self._cut_off_until_us[cut_off] = now_us + CUT_OFF_US
        self._cut_off_until_us = {
            address: until_us
            for address, until_us in self._cut_off_until_us.items()
            if until_us > now_us
        }
        known = {
            stream.helper
            for stream in self._streams
            if stream.connected and not stream.is_reader
        }
        if self._relay_address:
            known.add(
                events.HelperAddress(self._relay_address, self._failure_domain)
            )
        listed = [
            helper
            for helper in known
            if helper is not None
            and helper.address not in self._cut_off_until_us
        ]
        return random.sample(listed, min(MAX_LISTED_HELPERS, len(listed)))

    def record_read(
        self,
        name: str,
        outcome: store_records.Batch | store_records.ReadFailed,
        age_us: int = 0,
        own: bool = True,
        delay_us: int = 0,
        late_us: int = 0,
        taken_us: int = 0,
    ) -> None:
        """Records the outcome of a read and sends it to the followers.

        Args:
            name: Name of the source.
            outcome: Result of the read.
            age_us: Time since the read ended.
            own: Whether this host made the read. Reads of another host are
                relayed once, so that they can't circulate among hosts that
                follow each other.
            delay_us: Time that the read took beyond its wait at the store.
            late_us: The same of a late read, for which it counts as age:
                followers of older builds don't know of delays.
            taken_us: Longest time that the read may have taken.
        """
        source = self._sources[name]
        failed: store_records.ReadFailed | None = None
        is_complete = source.is_complete
        match outcome:
            case store_records.Batch():
                if not source.apply(outcome, self._now_us()):
                    return
                is_complete = outcome.is_complete
            case store_records.ReadFailed():
                failed = outcome
        ended_us = self._now_us() - age_us
        if source.reads and ended_us < source.ended_us:
            return
        source.reads += 1
        source.ended_us = ended_us
        source.failed = failed
        source.own = own
        source.is_complete = is_complete
        if failed is None:
            source.succeeded_us = ended_us - late_us
            source.delay_us = delay_us
            source.late_us = late_us
            source.taken_us = taken_us
        self._notify()

    def add_records(self, name: str, batch: store_records.Batch) -> None:
        """Adds another host's records without reporting them as a read."""
        self._sources[name].apply(batch, self._now_us())

    def latest(self, name: str) -> store_records.LatestRecords:
        """Returns the latest records of a source."""
        return self._sources[name].latest

    def close(self) -> None:
        """Ends all streams."""
        self._closed = True
        self._notify()

    async def _on_count(self, _request: web.Request) -> web.Response:
        return web.json_response({"hosts": self.count_hosts()})

    async def _on_list_helpers(self, request: web.Request) -> web.Response:
        helpers = self.list_helpers(request.query.get("cut-off", "")[:100])
        return web.json_response(
            {
                "helpers": [
                    [helper.address, helper.failure_domain]
                    for helper in helpers
                ]
            }
        )

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _on_follow(self, request: web.Request) -> web.StreamResponse:
        offsets: dict[str, int | None] = {}
        for name in self._sources:
            text = request.query.get(name, "")
            if text and not (text.isascii() and text.isdecimal()):
                return web.json_response(
                    {"error": f"{name}: found {text!r}; give an offset"},
                    status=400,
                )
            offsets[name] = int(text) if text else None
        response = web.StreamResponse(headers={"Content-Type": _JSON_LINES})
        try:
            await response.prepare(request)
            await self._serve_stream(request, response, offsets)
        except ConnectionError:
            # The follower disconnected; it logs the reason itself.
            pass
        return response

    async def _serve_stream(
        self,
        request: web.Request,
        response: web.StreamResponse,
        offsets: dict[str, int | None],
    ) -> None:
        stream = _Stream(
            request,
            is_reader="reader" in request.query,
            unlimited="unlimited" in request.query,
            deflate="deflate" in request.query,
            helper=_helper_of(request),
            sources=_sources_of(request),
        )
        self._streams.add(stream)
        try:
            await self._write_lines(response, offsets, stream)
        finally:
            self._streams.remove(stream)

    async def _write_lines(
        self,
        response: web.StreamResponse,
        offsets: dict[str, int | None],
        stream: _Stream,
    ) -> None:
        gate_hosts = self.gate_hosts
        first_line = {
            "failure-domain": self._failure_domain,
            "gate-hosts": gate_hosts,
            "sent-ms": self._now_us() // 1000,
        }
        await response.write(feed_lines.encode_line(first_line))
        written = dict.fromkeys(self._sources, 0)
        resets = {
            name: source.latest.resets for name, source in self._sources.items()
        }
        while not self._closed:
            changed = self._changed
            for name, source in self._sources.items():
                if written[name] == source.reads or name not in stream.sources:
                    continue
                written[name] = source.reads
                if resets[name] != source.latest.resets:
                    resets[name] = source.latest.resets
                    offsets[name] = None
                for fields, records in self._lines(name, offsets, stream):
                    if gate_hosts != self.gate_hosts:
                        gate_hosts = self.gate_hosts
                        fields["gate-hosts"] = gate_hosts
                    await response.write(
                        feed_lines.encode_line(fields, records)
                    )
            await changed.wait()

    def _limit_bytes(self, stream: _Stream) -> int:
        """Returns the largest size of the records in a line, as sent."""
        if stream.unlimited:
            return feed_lines.MAX_LINE_BYTES // 2
        fan_out_bytes = self._fan_out_bytes // max(1, len(self._streams))
        return min(MAX_RELAYED_BYTES, fan_out_bytes)

    def _lines(
        self, name: str, offsets: dict[str, int | None], stream: _Stream
    ) -> Iterator[tuple[dict[str, Any], bytes]]:
        """Yields the lines about the latest read and advances the offset.

        Each consists of its fields and of the member with its records.
        """
        source = self._sources[name]
        if source.failed is None:
            line = self._records_line(name, offsets, stream)
            if line is not None:
                yield line
            return
        if source.lacks_records(offsets[name]):
            line = self._records_line(name, offsets, stream)
            if line is not None:
                yield line
        fields = self._line_fields(name, source.ended_us)
        yield {**fields, "failed": source.failed.reason}, b""

    def _line_fields(self, name: str, read_ended_us: int) -> dict[str, Any]:
        now_us = self._now_us()
        return {
            "source": name,
            "age-ms": (now_us - read_ended_us) // 1000,
            "sent-ms": now_us // 1000,
            "own": self._sources[name].own,
        }

    def _records_line(
        self, name: str, offsets: dict[str, int | None], stream: _Stream
    ) -> tuple[dict[str, Any], bytes] | None:
        """Returns the line with the records that a follower lacks.

        Returns:
            The line; None before the first successful read.
        """
        source = self._sources[name]
        fields = self._line_fields(name, source.succeeded_us)
        encoded = source.since(offsets[name], stream.deflate)
        if encoded is None:
            return None
        batch, records = encoded.batch, encoded.member
        if batch.records and len(records) > self._limit_bytes(stream):
            # The offset tells the follower that records were omitted.
            next_offset = batch.next_offset
            batch = store_records.Batch([], next_offset, False, next_offset)
            records = feed_lines.encode_records([], deflate=False)
        if source.delay_us >= MIN_DELAY_US:
            fields["delay-ms"] = -(-source.delay_us // 1000)
        if source.late_us:
            fields["late-ms"] = -(-source.late_us // 1000)
        if not source.is_complete:
            fields["more"] = True
        offsets[name] = batch.next_offset
        fields["from-offset"] = batch.from_offset
        fields["next-offset"] = batch.next_offset
        fields["whole"] = batch.is_snapshot
        fields["taken-ms"] = -(-source.taken_us // 1000)
        fields["digest"] = feed_lines.encode_digest(source.latest.digest)
        return fields, records


def _sources_of(request: web.Request) -> frozenset[str]:
    """Returns the sources that a follower knows."""
    further_sources = request.query.get("further-sources", "").split(",")
    return frozenset([*feed_lines.BASIC_SOURCES, *further_sources])


def _helper_of(request: web.Request) -> events.HelperAddress | None:
    """Returns where a follower takes calls of other gate hosts, if stated."""
    address = request.query.get("relay", "")[:100]
    if not address:
        return None
    failure_domain = request.query.get("failure-domain", "")[:100]
    return events.HelperAddress(address, failure_domain)
