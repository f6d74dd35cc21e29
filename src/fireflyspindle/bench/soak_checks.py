"""Soak checks of configuration updates and of planned stops."""

import asyncio
import bisect
from collections.abc import Callable
import itertools

import attrs

from fireflyspindle import testing
from fireflyspindle.bench import soak_callers
from fireflyspindle.platform import header_profile

# Limit on applying a configuration (`config-apply-ms`), and a margin for
# delays of the soak itself.
APPLY_LIMIT_S = 2.0
MARGIN_S = 0.5
# Time after a fault from which the limits hold again (`contact-ms`).
FAULT_FREE_S = 3.0
POLL_INTERVAL_S = 0.1
# Window in which a server that states a limit gets at most `LIMIT_FACTOR` times
# what it allows, and `LIMIT_SLACK` requests; the time after the first statement
# from which that holds; and the time after which a gate host must know it.
LIMIT_WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5.0
LIMIT_FROM_S = 3.0
LIMIT_KNOWN_S = 0.5
PROBE_TIMEOUT_S = 1.0


@attrs.define(eq=False)
class GateObservation:
    """State of one gate host as observed from outside.

    Attributes:
        address: Address for callers.
        starts: Number of starts.
        last_fault_s: End of its last fault; infinite during a fault.
        newest_served: Newest version whose route it served since its start.
    """

    address: str
    starts: int = 0
    last_fault_s: float = -1e9
    newest_served: int = 0


class ConfigurationCheck:
    """Checks that gate hosts apply configurations in time and never revert.

    It requests routes that each exist in only one version.

    Args:
        last_store_fault_s: Returns the end of the last fault of the store;
            infinite during a fault.

    Attributes:
        violations: Versions that were applied late or reverted.
    """

    def __init__(self, last_store_fault_s: Callable[[], float]) -> None:
        self.violations: list[str] = []
        self._last_store_fault_s = last_store_fault_s
        self._written_s: dict[int, float] = {}
        self._probe_numbers = itertools.count(1)

    def on_written(self, version: int) -> None:
        """Records that the store acknowledged a version."""
        self._written_s[version] = _now_s()

    async def poll(self, gate: GateObservation) -> None:
        """Polls one gate host until the task is cancelled."""
        while True:
            version = max(self._written_s)
            await self._probe(gate, version)
            older = [other for other in self._written_s if other < version]
            if older:
                await self._probe(gate, max(older))
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _probe(self, gate: GateObservation, version: int) -> None:
        starts, sent_s = gate.starts, _now_s()
        status = await self._fetch_status(gate.address, version)
        newest = max(self._written_s)
        if status not in (200, 404) or gate.starts != starts:
            return
        self.check_response(gate, version, newest, status, sent_s)

    def check_response(
        self,
        gate: GateObservation,
        version: int,
        newest: int,
        status: int,
        sent_s: float,
    ) -> None:
        """Checks the response for the route of a version.

        Args:
            gate: Gate host that responded.
            version: Version that has the route.
            newest: Newest version when the response arrived.
            status: 200 or 404.
            sent_s: Time at which the request was sent.
        """
        if version == newest and status == 200:
            gate.newest_served = max(gate.newest_served, version)
        serves_older = version < newest and status == 200
        lacks_newest = version == newest and status == 404
        if not serves_older and not lacks_newest:
            return
        observed = (
            f"{gate.address} returned {status} for version {version}'s route"
        )
        if gate.newest_served >= newest:
            self.violations.append(
                f"configuration: {observed} after serving version {newest}"
            )
        last_fault_s = max(gate.last_fault_s, self._last_store_fault_s())
        due_s = max(
            self._written_s[newest] + APPLY_LIMIT_S, last_fault_s + FAULT_FREE_S
        )
        if sent_s > due_s + MARGIN_S:
            late_s = sent_s - self._written_s[newest]
            self.violations.append(
                f"configuration: {observed} {late_s:.2f} s after version"
                f" {newest} was written"
            )

    async def _fetch_status(self, address: str, version: int) -> int:
        request_id = f"{soak_callers.PROBE_PREFIX}{next(self._probe_numbers)}"
        head = soak_callers.request(
            "GET", f"/version-{version}/{request_id}", request_id
        )
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                connection = await testing.connect(address)
                response = await connection.ask(head)
        except (TimeoutError, OSError):
            return 0
        connection.close()
        if response is None or not response.whole:
            return 0
        if not response.values(header_profile.REQUEST_ID):
            return 0
        return int(response.first_line.split()[1])


def allowed_arrivals(limit_per_s: float) -> float:
    """Returns the most requests in a window to a server with a limit."""
    return LIMIT_FACTOR * LIMIT_WINDOW_S * limit_per_s + LIMIT_SLACK


def most_arrivals(arrivals_s: list[float], start_s: float, end_s: float) -> int:
    """Returns the most arrivals in any window that the limit holds for.

    Args:
        arrivals_s: Times of arrival, in ascending order.
        start_s: Time from which the server stated the limit.
        end_s: Time until which it did.
    """
    counted = [
        at_s for at_s in arrivals_s if start_s + LIMIT_KNOWN_S <= at_s <= end_s
    ]
    return max(
        (
            index + 1 - bisect.bisect_left(counted, at_s - LIMIT_WINDOW_S)
            for index, at_s in enumerate(counted)
            if at_s >= start_s + LIMIT_FROM_S
        ),
        default=0,
    )


@attrs.define(frozen=True)
class Span:
    """The duration of a fault or a planned stop.

    Attributes:
        address: Address of the gate host; empty for all.
        start_s: Start.
        end_s: End.
    """

    address: str
    start_s: float
    end_s: float

    def overlaps(self, result: soak_callers.CallResult) -> bool:
        """Returns whether a request was in flight during this time."""
        if self.address and result.address != self.address:
            return False
        return result.sent_s <= self.end_s and result.ended_s >= self.start_s


def find_requests_cut_by_stops(
    results: dict[str, soak_callers.CallResult],
    runs: dict[str, int],
    stops: list[Span],
    faults: list[Span],
) -> list[str]:
    """Returns violations for requests that ran but that a planned stop cut.

    Args:
        results: Result of each call, by request id.
        runs: Number of runs, by request id.
        stops: Planned stops, from the signal to the end of the process.
        faults: Faults that may interrupt a request.
    """
    violations = []
    for request_id, result in results.items():
        if result.status or not runs.get(request_id):
            continue
        during_stop = any(stop.overlaps(result) for stop in stops)
        if during_stop and not any(fault.overlaps(result) for fault in faults):
            violations.append(
                f"stop: {request_id} ran but its response was cut"
            )
    return violations


def find_requests_without_answer(
    results: dict[str, soak_callers.CallResult], faults: list[Span]
) -> list[str]:
    """Returns violations for requests that were left without an answer.

    Args:
        results: Result of each call, by request id.
        faults: Faults that may hold up a response.
    """
    return [
        f"answer: {request_id} got none in {soak_callers.CALLER_TIMEOUT_S:g} s"
        for request_id, result in results.items()
        if not result.status
        and result.ended_s - result.sent_s >= soak_callers.CALLER_TIMEOUT_S
        and not any(fault.overlaps(result) for fault in faults)
    ]


def _now_s() -> float:
    return asyncio.get_running_loop().time()
