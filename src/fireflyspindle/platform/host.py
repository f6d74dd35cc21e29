"""A gate host on the platform."""

import asyncio
import collections
import sys
import time

from aiohttp import web

from fireflyspindle import logs
from fireflyspindle import shell
from fireflyspindle.adapters import configuration_proof
from fireflyspindle.adapters import data_path
from fireflyspindle.adapters import head_limits
from fireflyspindle.adapters import probe_client
from fireflyspindle.adapters import quota_permits
from fireflyspindle.adapters import requests
from fireflyspindle.adapters import route_api
from fireflyspindle.adapters import target_client
from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import fleet
from fireflyspindle.core import placement
from fireflyspindle.core import published
from fireflyspindle.core import readiness
from fireflyspindle.core import state as state_lib
from fireflyspindle.core import store_reads
from fireflyspindle.core import store_state
from fireflyspindle.core import suspects
from fireflyspindle.core.cold_targets import cold
from fireflyspindle.core.evacuation import domains as evacuation_domains
from fireflyspindle.core.organisations import proof
from fireflyspindle.core.quotas import messages as quota_messages
from fireflyspindle.core.quotas import quota_values
from fireflyspindle.platform import header_profile
from fireflyspindle.platform import settings as settings_lib
from fireflyspindle.platform import store_sync

# Part of the bound for applying a change that is reserved for the response of
# a slow store and for sends in progress.
READ_MARGIN_MS = 600
# Longest wait of a long poll, as a fraction of that bound. The rest leaves time
# to detect that the reader is silent and to read the store directly, or to read
# again for changes that the long poll missed.
READ_WAIT_FRACTION = 0.4
# Longest wait of a read of crashes, as a fraction of the time in which all
# hosts must know of them.
CRASH_WAIT_FRACTION = 0.5
# Most time for which a stopping host still accepts connections: the load
# balancer checks readiness once a second and removes a host after two failed
# checks.
DRAIN_GRACE_MS = 2_800
# Most of the time until the host ends in which it accepts connections; the rest
# is for their requests.
DRAIN_GRACE_SHARE = 0.5
# Time before SIGKILL at which a stopping host aborts the remaining calls, and
# its most as a share of the time until SIGKILL.
SIGKILL_MARGIN_MS = 400
SIGKILL_MARGIN_SHARE = 0.5
# Fewest milliseconds until a stopping host ends; half of it is still above 0.
MIN_DRAIN_LIMIT_MS = 2

# Time that open responses have to end at shutdown.
SHUTDOWN_TIMEOUT_S = 0.2
# Largest body that is accepted until a configuration sets a limit, and from
# gate hosts that relay calls: any.
INITIAL_BODY_LIMIT_BYTES = sys.maxsize

# Connecting to a target takes about a millisecond; a lost SYN packet is sent
# again after a second.
CONNECTION_LIMITS = target_client.ConnectionLimits(
    connect_s=0.25, idle_s=8.0, non_repeatable_idle_s=1.0
)
# A probe takes about 6 ms.
PROBE_TIMEOUT_S = 0.1


class PlatformHost(shell.Shell):
    """A gate host that reads configuration and targets from the store.

    Attributes:
        settings: Settings in force.
    """

    def __init__(
        self,
        settings: settings_lib.HostSettings,
        log: logs.BoundedHandler | None = None,
    ) -> None:
        super().__init__(_core_settings(settings))
        self._log = log
        self.settings = settings
        self._store_sync = store_sync.StoreSync(
            self,
            settings.store_address,
            settings.failure_domain,
            settings.control_address,
            settings.relay_address,
            settings.link_mbps,
        )
        self._proofs = configuration_proof.ProofClient()
        self._quota_permits = quota_permits.QuotaPermits(self)
        self._runners: list[web.AppRunner] = []
        self._caller_limits: published.CallerLimits | None = None
        # Limits of earlier configurations that callers may still know.
        self._former_limits: collections.deque[published.CallerLimits] = (
            collections.deque()
        )

    async def start(self) -> None:
        """Starts listening and starts to read the store.

        Raises:
            OSError: The host can't listen on an address.
        """
        self.data_path = data_path.DataPath(
            self,
            self.settings.host_id,
            requests.BodyLimits(
                self.settings.budget.connection_bytes, INITIAL_BODY_LIMIT_BYTES
            ),
            CONNECTION_LIMITS,
            header_profile.HEADER_PROFILE,
            self.settings.budget,
        )
        self.probes = probe_client.ProbeClient(
            self.now_us,
            header_profile.HEADER_PROFILE,
            self.data_path.client,
            PROBE_TIMEOUT_S,
        )
        # Until a configuration sets a limit.
        self.data_path.server.head_limits = head_limits.HeadLimits(
            line_bytes=head_limits.PARSED_HEAD_BYTES,
            header_count=head_limits.PARSED_HEADERS,
        )
        self.data_path.server.limits_are_current = self._limits_are_current
        await self.data_path.start(
            self.settings.callers_address, accepting=False
        )
        if self.settings.relay_address:
            await self.data_path.start_relays(
                self.settings.relay_address, accepting=False
            )
        await self._serve(
            self.settings.readiness_address,
            [
                web.get("/readiness", self._on_readiness),
                web.get("/metrics", self._on_metrics),
            ],
        )
        if self.settings.control_address:
            route_handler = route_api.RouteHandler(self)
            await self._serve(
                self.settings.control_address,
                [
                    *self._store_sync.feed.routes(),
                    *configuration_proof.routes(self),
                    *self._quota_permits.routes(),
                    web.get(route_api.PATH, route_handler.handle),
                ],
            )
        self.begin()

    def apply_settings(self, settings: settings_lib.HostSettings) -> None:
        """Applies settings that changed while the process runs.

        Only the list of readers takes effect; the other settings take effect
        at the next start.
        """
        if settings.reader_addresses == self.settings.reader_addresses:
            return
        self.settings = settings
        self.submit(
            events.ReadersChanged(
                self.now_us(),
                settings.is_reader,
                settings.other_reader_addresses,
            )
        )

    async def wait_closed(self) -> None:
        """Waits until the host has drained, then closes all connections."""
        await self.wait_exit()
        self._store_sync.feed.close()
        for runner in self._runners:
            await runner.cleanup()
        await self._store_sync.close()
        await self._proofs.close()
        await self._quota_permits.close()

    def now_us(self) -> int:
        """Returns the monotonic time, including time while suspended."""
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
        held = self.state.held_calls
        self.metrics.gauges["calls_in_flight"] = len(self.state.calls) + len(
            held.calls
        )
        self.metrics.event_counts["call_held"] = held.total
        self.metrics.gauges["configuration_version"] = (
            self.state.rule_table.version or 0
        )
        self._set_store_gauges()
        proof_age_us = proof.age_us(self.state, self.now_us())
        if proof.is_needed(self.state) and proof_age_us is not None:
            self.metrics.gauges["key_proof_age_ms"] = proof_age_us // 1000
        server = self.data_path.server
        self.metrics.gauges["caller_connections"] = len(server.connections)
        self.metrics.gauges["callers_held_bytes"] = (
            server.room.account.total_bytes
        )
        self.metrics.gauges["followers"] = self._store_sync.feed.followers
        self.metrics.gauges["gate_hosts"] = fleet.size(self.state) or 0
        self.metrics.gauges["probe_budget_per_s"] = (
            placement.probe_budget_per_s(self.state)
        )
        self.metrics.gauges["targets_reachable"] = float(
            not self.state.reachability.lost
        )
        self.metrics.gauges["rate_limited_targets"] = sum(
            target.rate_limit is not None
            for service in self.state.services.values()
            for target in service.targets.values()
        )
        self.metrics.gauges["evacuated_targets"] = (
            evacuation_domains.evacuated_targets(self.state)
        )
        self.metrics.gauges["cold_targets"] = cold.cold_targets(self.state)
        self.metrics.gauges["paused_targets"] = sum(
            target.paused_until_us > self.state.now_us
            for service in self.state.services.values()
            for target in service.targets.values()
        )
        self.metrics.gauges["refused_requests"] = sum(
            suspects.is_refused(self.state, fingerprint)
            for fingerprint in self.state.crashes.suspects
        )
        self.metrics.gauges.update(quota_values.of(self.state))
        self.metrics.set_hedges(self.state.hedges)
        content, http_headers = self.metrics.render()
        return web.Response(body=content, headers=http_headers)

    def _set_store_gauges(self) -> None:
        """Sets the age of what is known of each source, and suspended reads."""
        for source, reads in self.state.store_reads.items():
            if reads.complete_until_us is not None:
                self.metrics.gauges[f"{source.value}_age_ms"] = (
                    self.now_us()
                    - store_reads.complete_until_us(self.state, source)
                ) // 1000
        self.metrics.gauges["suspended_store_reads"] = sum(
            reads.suspended for reads in self.state.store_reads.values()
        )

    def execute_specific_effect(self, effect: effects.Effect) -> None:
        """Executes an effect that is specific to the platform."""
        match effect:
            case (
                effects.ReadStore()
                | effects.CancelStoreRead()
                | effects.FollowReader()
                | effects.StopFollowing()
                | effects.CountHosts()
                | effects.ReportHosts()
                | effects.ListHelpers()
                | effects.AppendCrashes()
            ):
                self._store_sync.execute_effect(effect)
            case effects.AskConfigurationProof():
                self.spawn(self._ask_configuration_proof(effect))
            case (
                quota_messages.RequestQuotaPermits()
                | quota_messages.AnswerQuotaRequest()
            ):
                self._quota_permits.execute_effect(effect)
            case effects.SetCallerLimits(limits):
                self._apply_caller_limits(limits)
            case _:
                super().execute_specific_effect(effect)

    async def _ask_configuration_proof(
        self, effect: effects.AskConfigurationProof
    ) -> None:
        sent_us = self.now_us()
        task = asyncio.create_task(
            self._proofs.ask(effect.reader, effect.limit_us / 1e6)
        )
        try:
            await asyncio.wait({task}, timeout=effect.timeout_us / 1e6)
            late = not task.done()
            if late:
                self.submit(
                    events.ConfigurationProofAnswered(self.now_us(), sent_us)
                )
            answer = await task
        finally:
            task.cancel()
        self.submit(
            events.ConfigurationProofAnswered(
                self.now_us(),
                sent_us,
                answer.version,
                answer.age_us,
                answer.unsupported,
                late,
            )
        )

    def _limits_are_current(self) -> bool:
        """Whether no newer configuration than the one in force is due."""
        return self.state.rule_table.version is not None and (
            store_reads.is_up_to_date(
                self.state,
                store_state.Source.CONFIGURATION,
                self.now_us(),
            )
        )

    def _apply_caller_limits(self, limits: published.CallerLimits) -> None:
        """Applies new limits; lower ones once all callers may know them."""
        if self._caller_limits is not None:
            self._former_limits.append(self._caller_limits)
            delay_s = self.settings.bounds.config_apply_ms / 1000
            loop = asyncio.get_running_loop()
            loop.call_later(delay_s, self._drop_former_limits)
        self._caller_limits = limits
        self._set_caller_limits()

    def _drop_former_limits(self) -> None:
        self._former_limits.popleft()
        self._set_caller_limits()

    def _set_caller_limits(self) -> None:
        """Sets the highest of the limits that callers may know."""
        assert self._caller_limits is not None
        known = (self._caller_limits, *self._former_limits)
        limits = published.CallerLimits(
            header_bytes=max(
                known_limits.header_bytes for known_limits in known
            ),
            body_bytes=max(known_limits.body_bytes for known_limits in known),
            header_timeout_ms=max(
                known_limits.header_timeout_ms for known_limits in known
            ),
            idle_timeout_ms=max(
                known_limits.idle_timeout_ms for known_limits in known
            ),
        )
        server = self.data_path.server
        server.idle_limit_s = limits.idle_timeout_ms / 1000
        server.head_limits = head_limits.HeadLimits(
            limits.header_bytes,
            limits.header_timeout_ms / 1000,
            # As many as fit, so that only the bytes are limited.
            limits.header_bytes // head_limits.MIN_HEADER_BYTES,
            limits.header_bytes,
        )
        server.body_limits = requests.BodyLimits(
            min(self.settings.budget.connection_bytes, limits.body_bytes),
            limits.body_bytes,
        )


def _core_settings(
    settings: settings_lib.HostSettings,
) -> state_lib.CoreSettings:
    bounds = settings.bounds
    apply_bound_ms = min(bounds.drain_ms, bounds.config_apply_ms)
    drain_limit_ms = _drain_limit_ms(bounds)
    return state_lib.CoreSettings(
        host_id=settings.host_id,
        failure_domain=settings.failure_domain,
        drain_grace_ms=min(
            DRAIN_GRACE_MS, int(drain_limit_ms * DRAIN_GRACE_SHARE)
        ),
        drain_limit_ms=drain_limit_ms,
        store=store_state.StoreSettings(
            min_read_interval_ms=max(0, int(apply_bound_ms) - READ_MARGIN_MS),
            apply_limit_ms=int(bounds.config_apply_ms),
            probes_per_s=bounds.probes_per_s,
            resend_share=bounds.retry_budget_ratio,
            resend_slack=bounds.retry_slack,
            resend_window_ms=int(bounds.budget_window_s * 1000),
            first_start=settings.first_start,
            control_address=settings.control_address,
            is_reader=settings.is_reader,
            other_reader_addresses=settings.other_reader_addresses,
            long_poll_wait_ms=int(apply_bound_ms * READ_WAIT_FRACTION),
            relay_address=settings.relay_address,
            crash_wait_ms=int(bounds.contact_ms * CRASH_WAIT_FRACTION),
            revocation_limit_ms=(
                int(bounds.revoke_ms)
                if bounds.strict_revoke and bounds.revoke_ms is not None
                else None
            ),
            quota_tolerance=_quota_tolerance(bounds),
            cold_tolerance=_cold_tolerance(bounds),
            evacuation_limit_ms=(
                int(bounds.evacuate_ms)
                if bounds.evacuate_ms is not None
                else None
            ),
            hedge_share=settings.hedges.share,
            hedge_routes=settings.hedges.routes,
        ),
    )


def _drain_limit_ms(bounds: settings_lib.Bounds) -> int:
    """Returns the time after which a stopping host aborts the calls left."""
    kill_ms = bounds.grace_s * 1000
    margin_ms = min(SIGKILL_MARGIN_MS, kill_ms * SIGKILL_MARGIN_SHARE)
    return max(MIN_DRAIN_LIMIT_MS, int(kill_ms - margin_ms))


def _quota_tolerance(
    bounds: settings_lib.Bounds,
) -> store_state.QuotaTolerance | None:
    if bounds.quota_window_s is None:
        return None
    return store_state.QuotaTolerance(
        window_ms=int(bounds.quota_window_s * 1000),
        overage=bounds.quota_overage,
        slack_requests=bounds.quota_slack,
    )


def _cold_tolerance(
    bounds: settings_lib.Bounds,
) -> store_state.ColdTolerance | None:
    if bounds.cold_overage is None:
        return None
    return store_state.ColdTolerance(bounds.cold_overage, bounds.cold_slack)
