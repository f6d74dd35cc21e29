"""The servers of the soak, each behind a proxy, and what they received."""

import collections
from collections.abc import Callable, Iterable

import attrs

from fireflyspindle import testing
from fireflyspindle.bench import soak_checks
from fireflyspindle.bench import store_process
from fireflyspindle.testing import platform_documents
from fireflyspindle.testing import platform_server
from fireflyspindle.testing import store as store_lib
from fireflyspindle.testing import tcp_proxy

Store = testing.StandInStore | store_process.StoreProcess


@attrs.define(eq=False)
class Server:
    """One server behind its proxy.

    Attributes:
        stand_in: The server's application.
        web_server: HTTP server of the application.
        proxy: Fault-injecting proxy in front of the server.
        address: Address of the proxy.
        started_ms: Start time that the server registers, in milliseconds.
        last_fault_s: Loop time at which the last fault of its proxy ended;
            infinite during a fault.
        service: Service that it belongs to.
    """

    stand_in: platform_server.StandInServer
    web_server: testing.Server
    proxy: tcp_proxy.TcpProxy
    address: str
    started_ms: int
    last_fault_s: float = -1e9
    service: str = platform_documents.SERVICE

    def register(self, store: Store, state: str) -> None:
        """Writes its entry to the store."""
        entry = platform_documents.target_entry(
            self.address, state, self.started_ms, self.service
        )
        store.write(store_lib.TARGETS_TOPIC, self.stand_in.server_id, entry)

    def remove(self, store: Store) -> None:
        """Removes its entry from the store."""
        store.write(store_lib.TARGETS_TOPIC, self.stand_in.server_id, None)

    def arrivals_after(
        self, limit_s: float, is_counted: Callable[[str], bool]
    ) -> list[float]:
        """Returns the times of arrival after a limit.

        Args:
            limit_s: The limit.
            is_counted: Whether to count a request, given its id.
        """
        arrivals = zip(
            self.stand_in.arrivals_s, self.stand_in.arrival_ids, strict=True
        )
        return [
            at_s
            for at_s, request_id in arrivals
            if at_s > limit_s and is_counted(request_id)
        ]

    def check_limit(
        self, limit_per_s: float, start_s: float, end_s: float
    ) -> list[str]:
        """Returns a violation if it received more than the limit it stated.

        Args:
            limit_per_s: The limit.
            start_s: Time from which it stated the limit.
            end_s: Time until which it did.
        """
        most = soak_checks.most_arrivals(
            self.stand_in.arrivals_s, start_s, end_s
        )
        if most <= soak_checks.allowed_arrivals(limit_per_s):
            return []
        return [
            f"limit: {self.stand_in.server_id} received {most} requests in"
            f" {soak_checks.LIMIT_WINDOW_S:g} s, with a limit of"
            f" {limit_per_s:g} per second"
        ]


async def start_server(
    number: int, service: str = platform_documents.SERVICE
) -> Server:
    """Starts a server; it has no entry in the store yet."""
    stand_in = platform_server.StandInServer(f"i-{number}")
    web_server = testing.Server(stand_in.application())
    proxy = tcp_proxy.TcpProxy(await web_server.start())
    address = await proxy.start()
    return Server(
        stand_in,
        web_server,
        proxy,
        address,
        1_000 + number,
        service=service,
    )


def count_runs(servers: Iterable[Server]) -> dict[str, int]:
    """Returns the number of runs by request id."""
    runs: collections.Counter[str] = collections.Counter()
    for server in servers:
        runs.update(server.stand_in.runs)
    return runs


def services_of_runs(servers: Iterable[Server]) -> dict[str, set[str]]:
    """Returns the services that ran each request, by its id."""
    services: dict[str, set[str]] = collections.defaultdict(set)
    for server in servers:
        for request_id in server.stand_in.runs:
            services[request_id].add(server.service)
    return services


def count_arrivals(servers: Iterable[Server]) -> dict[str, int]:
    """Returns the number of arrivals at servers by request id."""
    arrivals: collections.Counter[str] = collections.Counter()
    for server in servers:
        arrivals.update(server.stand_in.arrival_ids)
    return arrivals


def latest_work(
    servers: Iterable[Server],
) -> dict[str, platform_server.Work]:
    """Returns the run that started last by request id."""
    latest: dict[str, platform_server.Work] = {}
    for server in servers:
        for request_id, run in server.stand_in.work.items():
            other = latest.setdefault(request_id, run)
            if run.start_s > other.start_s:
                latest[request_id] = run
    return latest
