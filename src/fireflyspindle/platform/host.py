"""A gate host on the users' platform."""

import time

from aiohttp import web

from fireflyspindle import logs
from fireflyspindle import shell
from fireflyspindle.adapters import caller_connection
from fireflyspindle.adapters import data_path
from fireflyspindle.adapters import probe_client
from fireflyspindle.adapters import requests
from fireflyspindle.adapters import target_client
from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import published
from fireflyspindle.core import readiness
from fireflyspindle.core import state as state_lib
from fireflyspindle.core import store_state
from fireflyspindle.platform import dialect
from fireflyspindle.platform import reading
from fireflyspindle.platform import settings as settings_lib

# Margin between a read of the store and the bound by which what it brings has
# to be in force: the answer of a slow store, and the sends under way.
READ_MARGIN_MS = 600
# Wait of a read at the store, as a part of that bound; what is left
# is for a host to notice that its reader is silent, and to read itself, or to
# read once more what a waiting read missed.
READ_WAIT_PART = 0.4
# Time for which a host that stops still takes connections: the balancer asks
# once a second and leaves a host after two misses.
DRAIN_GRACE_MS = 2_800
# Time before SIGKILL at which a host that stops gives up what is left.
KILL_MARGIN_MS = 400

# Bodies up to this size are held for another attempt; the users' requests
# have a few kilobytes.
HELD_BODY_BYTES = 256 * 1024
# Time for an open answer to end when the process does.
SHUTDOWN_TIMEOUT_S = 0.2
# Largest body until the configuration states a limit.
FIRST_BODY_LIMIT_BYTES = 64 * 1024 * 1024

# Times of connections to targets. A connection takes about a millisecond to
# be made; a lost opening packet is sent again after a second.
CONNECTION_LIMITS = target_client.ConnectionLimits(
    connect_s=0.25, idle_s=8.0, non_repeatable_idle_s=1.0
)
# A probe takes about 6 ms.
PROBE_TIMEOUT_S = 0.1


class PlatformHost(shell.Shell):
    """One gate host, driven by the platform's store.

    Attributes:
        settings: What this host was told at its start.
    """

    def __init__(
        self,
        settings: settings_lib.HostSettings,
        log: logs.BoundedHandler | None = None,
    ) -> None:
        super().__init__(_core_settings(settings))
        self._log = log
        self.settings = settings
        self._reading = reading.Reading(
            self, settings.store_address, settings.failure_domain
        )
        self._runners: list[web.AppRunner] = []

    async def start(self) -> None:
        """Opens the addresses and begins to read the store.

        Raises:
            OSError: An address can't be opened.
        """
        self.data_path = data_path.DataPath(
            self,
            self.settings.host_id,
            requests.BodyLimits(HELD_BODY_BYTES, FIRST_BODY_LIMIT_BYTES),
            CONNECTION_LIMITS,
            dialect.DIALECT,
        )
        self.probes = probe_client.ProbeClient(
            self.now_us,
            dialect.DIALECT,
            self.data_path.client,
            PROBE_TIMEOUT_S,
        )
        await self.data_path.start(
            self.settings.callers_address, accepting=False
        )
        await self._serve(
            self.settings.ready_address,
            [
                web.get("/readiness", self._on_readiness),
                web.get("/metrics", self._on_metrics),
            ],
        )
        if self.settings.control_address:
            await self._serve(
                self.settings.control_address, self._reading.feed.routes()
            )
        self.begin()

    def take_settings(self, settings: settings_lib.HostSettings) -> None:
        """Takes settings that changed while the process runs.

        Of these only the list of readers can change; addresses and names are
        those of the start.
        """
        if settings.readers == self.settings.readers:
            return
        self.settings = settings
        self.submit(
            events.ReadersListed(
                self.now_us(), settings.is_reader, settings.other_readers
            )
        )

    async def wait_closed(self) -> None:
        """Waits until nothing is in flight, then closes everything."""
        await self.wait_exit()
        self._reading.feed.close()
        for runner in self._runners:
            await runner.cleanup()
        await self._reading.close()

    def now_us(self) -> int:
        """Returns the monotonic time, the suspension of a host included."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000

    async def _serve(self, address: str, routes: list[web.RouteDef]) -> None:
        app = web.Application()
        app.add_routes(routes)
        runner = web.AppRunner(
            app, access_log=None, shutdown_timeout=SHUTDOWN_TIMEOUT_S
        )
        await runner.setup()
        self._runners.append(runner)
        host, _, port = address.rpartition(":")
        await web.TCPSite(runner, host, int(port)).start()

    async def _on_readiness(self, _request: web.Request) -> web.Response:
        reason = readiness.not_ready_reason(self.state)
        return web.Response(status=200 if reason is None else 503, text=reason)

    async def _on_metrics(self, _request: web.Request) -> web.Response:
        if self._log is not None:
            self.metrics.gauges["log_lines_left_out"] = self._log.dropped
        self.metrics.gauges["calls_in_flight"] = len(self.state.calls)
        self.metrics.gauges["configuration_version"] = (
            self.state.rules.version or 0
        )
        self.metrics.gauges["followers"] = self._reading.feed.followers
        content, http_headers = self.metrics.render()
        return web.Response(body=content, headers=http_headers)

    def carry_out_own(self, effect: effects.Effect) -> None:
        """Carries out an effect on the store."""
        match effect:
            case (
                effects.ReadStore()
                | effects.StopReading()
                | effects.FollowReader()
                | effects.StopFollowing()
            ):
                self._reading.carry_out(effect)
            case effects.LimitCallers(limits):
                self._limit_callers(limits)
            case _:
                super().carry_out_own(effect)

    def _limit_callers(self, limits: published.CallerLimits) -> None:
        server = self.data_path.server
        server.idle_limit_s = limits.idle_timeout_ms / 1000
        server.head_limits = caller_connection.HeadLimits(
            limits.head_bytes, limits.head_timeout_ms / 1000
        )
        server.body_limits = requests.BodyLimits(
            min(HELD_BODY_BYTES, limits.body_bytes), limits.body_bytes
        )


def _core_settings(
    settings: settings_lib.HostSettings,
) -> state_lib.CoreSettings:
    bounds = settings.bounds
    bound_ms = min(bounds.drain_ms, bounds.config_apply_ms)
    return state_lib.CoreSettings(
        host_id=settings.host_id,
        failure_domain=settings.failure_domain,
        drain_grace_ms=DRAIN_GRACE_MS,
        drain_limit_ms=int(bounds.grace_s * 1000) - KILL_MARGIN_MS,
        store=store_state.StoreSettings(
            read_spacing_ms=max(0, int(bound_ms) - READ_MARGIN_MS),
            probes_per_s=bounds.probes_per_s,
            repeat_share=bounds.retry_budget_ratio,
            repeat_slack=bounds.retry_slack,
            repeat_window_ms=int(bounds.budget_window_s * 1000),
            first_start=settings.first_start,
            control_address=settings.control_address,
            is_reader=settings.is_reader,
            readers=settings.other_readers,
            read_wait_ms=int(bound_ms * READ_WAIT_PART),
        ),
    )
