"""Where a call goes and on what terms, by records or by published rules."""

import attrs

from fireflyspindle.core import configuration
from fireflyspindle.core import events
from fireflyspindle.core import refusals
from fireflyspindle.core import state as state_lib

# Attempts of a call whose route states no limit.
DEFAULT_MAX_ATTEMPTS = 3


@attrs.define(frozen=True)
class Destination:
    """The service of a call, and its terms.

    Attributes:
        service: The service.
        repeatable: Whether the request may run more than once.
        deadline_us: Time at which the caller is answered at the latest.
        route: Name of the published rule, if any.
        aim_us: Time by which an answer is worth most, if it is stated.
        max_attempts: Most targets that it may be sent to.
        priority: Rank of the route; 0 is the most urgent.
    """

    service: state_lib.ServiceState
    repeatable: bool
    deadline_us: int
    route: str = ""
    aim_us: int | None = None
    max_attempts: int = DEFAULT_MAX_ATTEMPTS
    priority: int = 0


def find(
    state: state_lib.GateState, event: events.CallArrived
) -> Destination | refusals.Refusal:
    """Returns where a call goes."""
    if state.settings.store is not None:
        return _by_rule(state, event)
    name = configuration.route(state.configuration, event.path)
    service = state.services.get(name) if name is not None else None
    if service is None:
        return _no_route(event)
    deadline_us = event.deadline_us
    if deadline_us is None:
        policy = state.configuration.policy(service.name)
        deadline_us = event.now_us + policy.default_deadline_ms * 1000
    return Destination(service, event.repeatable, deadline_us)


def _by_rule(
    state: state_lib.GateState, event: events.CallArrived
) -> Destination | refusals.Refusal:
    if not state.listening:
        # What is taken now might not end before the process is killed.
        return refusals.Refusal(503, "stopping", "this gate host stops")
    if state.rules.version is None:
        return refusals.Refusal(
            503, "no_configuration", "this gate host has no configuration yet"
        )
    rule = state.rules.find(event.host, event.path)
    if rule is None:
        return _no_route(event)
    part = state.rules.part(rule, state.random.random())
    service = state.services.get(part.service)
    if service is None:
        detail = f"route {rule.name} leads to unknown service {part.service}"
        return refusals.Refusal(503, "no_service", detail)
    deadline_us = event.now_us + rule.timeout_ms * 1000
    if event.deadline_us is not None:
        deadline_us = min(deadline_us, event.deadline_us)
    return Destination(
        service=service,
        repeatable=rule.repeatable,
        deadline_us=deadline_us,
        route=rule.name,
        aim_us=event.now_us + rule.aim_ms * 1000,
        max_attempts=rule.max_attempts,
        priority=rule.priority,
    )


def _no_route(event: events.CallArrived) -> refusals.Refusal:
    return refusals.Refusal(
        404, "no_route", f"no route covers the path {event.path!r}"
    )
