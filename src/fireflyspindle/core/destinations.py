"""Routes calls to services, by route records or published rules."""

import attrs

from fireflyspindle.core import configuration
from fireflyspindle.core import events
from fireflyspindle.core import published
from fireflyspindle.core import readiness
from fireflyspindle.core import refusals
from fireflyspindle.core import state as state_lib
from fireflyspindle.core import store_reads
from fireflyspindle.core import store_state
from fireflyspindle.core import unproven_calls
from fireflyspindle.core.organisations import authorisation

# Maximum attempts of a call whose route sets no limit.
DEFAULT_MAX_ATTEMPTS = 3
# Status of a relayed call that this host can't carry because of its route
# only; the host that relays it does not pass the status on.
ROUTE_DIFFERS_STATUS = 421


@attrs.define(frozen=True)
class Destination:
    """The service of a call and the limits of its route.

    Attributes:
        service: The service.
        repeatable: Whether the request may run more than once.
        deadline_us: Latest time at which the caller is answered.
        route: Name of the published rule, if any.
        soft_deadline_us: Time at which the latency objective of the route is
            reached, or None.
        max_attempts: Maximum number of targets that the request is sent to.
        priority: Priority of the route; 0 is the highest.
        organisation: Name of the organisation of the request, or empty.
        has_large_bodies: Whether its route has large bodies.
        public: Whether the route needs no API key.
        configuration_version: Version of the published configuration that has
            the route, or 0.
        configuration_unproven: Whether that version may not be the newest.
    """

    service: state_lib.ServiceState
    repeatable: bool
    deadline_us: int
    route: str = ""
    soft_deadline_us: int | None = None
    max_attempts: int = DEFAULT_MAX_ATTEMPTS
    priority: int = 0
    organisation: str = ""
    has_large_bodies: bool = False
    public: bool = False
    configuration_version: int = 0
    configuration_unproven: bool = False


def find(
    state: state_lib.GateState, event: events.CallArrived
) -> Destination | refusals.Refusal:
    """Returns the destination of a call, or why it is refused."""
    if state.settings.store is not None:
        return _find_by_rule(state, event)
    name = configuration.service_for_path(state.configuration, event.path)
    service = state.services.get(name) if name is not None else None
    if service is None:
        return _no_route(state, event)
    deadline_us = event.deadline_us
    if deadline_us is None:
        policy = state.configuration.policy(service.name)
        deadline_us = event.now_us + policy.default_deadline_ms * 1000
    return Destination(service, event.repeatable, deadline_us)


def _find_by_rule(
    state: state_lib.GateState, event: events.CallArrived
) -> Destination | refusals.Refusal:
    if not state.listening:
        # A call accepted now might not finish before the process is killed.
        return refusals.Refusal(503, "stopping", "this gate host is stopping")
    if state.rule_table.version is None:
        return refusals.Refusal(
            503, "no_configuration", "this gate host has no configuration yet"
        )
    rule = state.rule_table.find(event.host, event.path)
    if event.relay_service:
        # The host that relays the call may have another version.
        part = rule.part_of(event.relay_service) if rule is not None else None
    elif rule is None:
        return _no_rule(state, event)
    else:
        part = state.rule_table.choose_part(rule, state.random.random())
    if rule is None or part is None:
        detail = (
            f"no route of version {state.rule_table.version} leads from the"
            f" path {event.path!r} to service {event.relay_service}"
        )
        return refusals.Refusal(ROUTE_DIFFERS_STATUS, "route_differs", detail)
    organisation = authorisation.authorise(state, event, rule)
    if isinstance(organisation, refusals.Refusal):
        return organisation
    service = state.services.get(part.service)
    if service is None:
        detail = f"route {rule.name} refers to unknown service {part.service}"
        return refusals.Refusal(503, "no_service", detail)
    max_attempts = rule.max_attempts
    if event.relay_max_attempts is not None:
        max_attempts = min(max_attempts, event.relay_max_attempts)
    return Destination(
        service=service,
        repeatable=rule.repeatable and event.relay_repeatable,
        deadline_us=_deadline_us(event, rule),
        route=rule.name,
        soft_deadline_us=event.now_us + rule.latency_objective_ms * 1000,
        max_attempts=max_attempts,
        priority=authorisation.priority(state, organisation, rule),
        organisation=organisation,
        has_large_bodies=rule.has_large_bodies,
        public=rule.public,
        configuration_version=state.rule_table.version,
        configuration_unproven=unproven_calls.on_routed(state),
    )


def deadline_us(
    state: state_lib.GateState, event: events.CallArrived
) -> int | None:
    """Returns the deadline of a call by the rules in force, if it has one."""
    rule = state.rule_table.find(event.host, event.path)
    return event.deadline_us if rule is None else _deadline_us(event, rule)


def _deadline_us(event: events.CallArrived, rule: published.Rule) -> int:
    """Returns the deadline of a call, which counts from its arrival."""
    limit_us = event.now_us + rule.timeout_ms * 1000
    if event.deadline_us is None:
        return limit_us
    return min(limit_us, event.deadline_us)


def _no_rule(
    state: state_lib.GateState, event: events.CallArrived
) -> refusals.Refusal:
    """Refuses a call that matches no rule.

    A caller does not come back after a 404, so it is only told so if the rules
    are known to be up to date. A 503 sends it to another gate host.
    """
    source = store_state.Source.CONFIGURATION
    complete_us = state.store_reads[source].complete_until_us
    known = "whether there are newer versions is unknown"
    if complete_us is not None:
        age_ms = (state.now_us - complete_us) // 1000
        known = f"newer versions are known up to {age_ms} ms ago"
    detail = (
        f"no route of version {state.rule_table.version} matches the path"
        f" {event.path!r}; {known}"
    )
    if not store_reads.is_up_to_date(state, source):
        return refusals.Refusal(503, "configuration_outdated", detail)
    return refusals.Refusal(404, "no_route", detail)


def _no_route(
    state: state_lib.GateState, event: events.CallArrived
) -> refusals.Refusal:
    reason = readiness.configuration_not_ready_reason(state)
    if reason is not None:
        return refusals.Refusal(503, "no_configuration", reason)
    return refusals.Refusal(
        404, "no_route", f"no route matches the path {event.path!r}"
    )
