"""Quotas of the organisations of the configuration in force."""

from fireflyspindle.core import published
from fireflyspindle.core import state as state_lib
from fireflyspindle.core import store_state
from fireflyspindle.core.quotas import admission
from fireflyspindle.core.quotas import granter
from fireflyspindle.core.quotas import quota_state
from fireflyspindle.core.quotas import terms


def on_configuration(
    state: state_lib.GateState, document: published.Document
) -> None:
    """Applies the quotas of a newer configuration."""
    quotas = state.quotas
    settings = state.settings.store
    if settings is None or settings.quota_tolerance is None:
        return
    previous = quotas.limited
    quotas.limited = {
        organisation.name: _updated(
            previous.get(organisation.name),
            organisation,
            settings.quota_tolerance,
        )
        for organisation in document.organisations
        if organisation.requests_per_s > 0
    }
    granter.on_limits_changed(state)
    for name, quota in previous.items():
        if name not in quotas.limited:
            admission.release_all(state, quota)


def _updated(
    quota: quota_state.OrganisationQuota | None,
    organisation: published.Organisation,
    tolerance: store_state.QuotaTolerance,
) -> quota_state.OrganisationQuota:
    rate, burst = organisation.requests_per_s, organisation.burst_requests
    divided = terms.divide(rate, burst, tolerance)
    if quota is None:
        return quota_state.OrganisationQuota(
            organisation.name, rate, burst, divided
        )
    quota.requests_per_s = rate
    quota.burst_requests = burst
    quota.terms = divided
    return quota
