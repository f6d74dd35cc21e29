"""What the soak checks of configurations and of planned stops."""

import asyncio
from collections.abc import Callable
import itertools

import attrs

from fireflyspindle import testing
from fireflyspindle.bench import soak_callers
from fireflyspindle.platform import dialect

# Bound of the users for a configuration, and a margin for the soak's own lag.
APPLY_S = 2.0
LAG_S = 0.5
# Time without a fault after which the bounds hold (`contact-ms`).
CONTACT_S = 3.0
PROBE_SPACING_S = 0.1
PROBE_TIMEOUT_S = 1.0


@attrs.define(eq=False)
class Watched:
    """What is known of one gate host from outside.

    Attributes:
        address: Its callers' address.
        starts: How often it was started.
        disturbed_s: Time of its last fault; infinite while one lasts.
        served: Newest version whose route it served since its start.
    """

    address: str
    starts: int = 0
    disturbed_s: float = -1e9
    served: int = 0


class Configurations:
    """Asks each gate host for routes that only one version has.

    Args:
        store_calm_since_s: Returns the time of the last fault of the store.

    Attributes:
        violations: Versions that came late or were taken back.
    """

    def __init__(self, store_calm_since_s: Callable[[], float]) -> None:
        self.violations: list[str] = []
        self._store_calm_since_s = store_calm_since_s
        self._written_s: dict[int, float] = {}
        self._numbers = itertools.count(1)

    def wrote(self, version: int) -> None:
        """Takes the acknowledgement of a version."""
        self._written_s[version] = _now_s()

    async def watch(self, gate: Watched) -> None:
        """Asks one gate host until it is cancelled."""
        while True:
            version = max(self._written_s)
            await self._ask(gate, version)
            older = [other for other in self._written_s if other < version]
            if older:
                await self._ask(gate, max(older))
            await asyncio.sleep(PROBE_SPACING_S)

    async def _ask(self, gate: Watched, version: int) -> None:
        starts, sent_s = gate.starts, _now_s()
        status = await self._status(gate.address, version)
        newest = max(self._written_s)
        if status not in (200, 404) or gate.starts != starts:
            return
        self.judge(gate, version, newest, status, sent_s)

    def judge(
        self,
        gate: Watched,
        version: int,
        newest: int,
        status: int,
        sent_s: float,
    ) -> None:
        """Judges the answer for the route of a version.

        Args:
            gate: Who answered.
            version: Version that has the route.
            newest: Newest version when the answer came.
            status: 200 or 404.
            sent_s: Time at which the request was sent.
        """
        if version == newest and status == 200:
            gate.served = max(gate.served, version)
        follows_older = version < newest and status == 200
        lacks_newest = version == newest and status == 404
        if not follows_older and not lacks_newest:
            return
        what = f"{gate.address} answered {status} on version {version}'s route"
        if gate.served >= newest:
            self.violations.append(f"configuration: {what}, after {newest}")
        calm_since_s = max(gate.disturbed_s, self._store_calm_since_s())
        due_s = self._written_s[newest] + APPLY_S + LAG_S
        if sent_s > max(due_s, calm_since_s + CONTACT_S + APPLY_S + LAG_S):
            late_s = sent_s - self._written_s[newest]
            self.violations.append(
                f"configuration: {what}, {late_s:.2f} s after {newest} came"
            )

    async def _status(self, address: str, version: int) -> int:
        request_id = f"{soak_callers.PROBE_PREFIX}{next(self._numbers)}"
        head = soak_callers.request(
            "GET", f"/version-{version}/{request_id}", request_id
        )
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                connection = await testing.connect(address)
                found = await connection.ask(head)
        except (TimeoutError, OSError):
            return 0
        connection.close()
        if found is None or not found.whole:
            return 0
        if not found.values(dialect.REQUEST_ID):
            return 0
        return int(found.first_line.split()[1])


@attrs.define(frozen=True)
class Span:
    """A time in which something was done to a gate host or a server.

    Attributes:
        address: Address of the gate host; empty for any.
        from_s: Start.
        to_s: End.
    """

    address: str
    from_s: float
    to_s: float

    def overlaps(self, told: soak_callers.Told) -> bool:
        """Whether a request was under way in this time."""
        if self.address and told.address != self.address:
            return False
        return told.sent_s <= self.to_s and told.ended_s >= self.from_s


def cut_at_stops(
    told: dict[str, soak_callers.Told],
    runs: dict[str, int],
    stops: list[Span],
    faults: list[Span],
) -> list[str]:
    """Returns the requests that ran and were cut by a planned stop.

    Args:
        told: What each caller was told, by request id.
        runs: Runs of each request.
        stops: Planned stops, from the signal to the end of the process.
        faults: Faults that may cut a request.
    """
    found = []
    for request_id, each in told.items():
        if each.status or not runs.get(request_id):
            continue
        stopped = any(stop.overlaps(each) for stop in stops)
        if stopped and not any(fault.overlaps(each) for fault in faults):
            found.append(f"stop: {request_id} ran and was cut")
    return found


def _now_s() -> float:
    return asyncio.get_running_loop().time()
