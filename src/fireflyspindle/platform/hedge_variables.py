"""Environment variables with which an operator limits hedged requests."""

from collections.abc import Mapping
import decimal
import re

import attrs
import result

# Most hedges per 100 requests of a service, over all gate hosts.
PERCENT_VARIABLE = "FIREFLYSPINDLE_HEDGE_PERCENT"
# Names of the routes whose requests may be hedged, separated by commas.
ROUTES_VARIABLE = "FIREFLYSPINDLE_HEDGE_ROUTES"
# Above a fifth of the requests, hedges would be the usual case.
MAX_PERCENT = 20

_DECIMAL = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")


@attrs.define(frozen=True)
class HedgeSettings:
    """The operator's limit on hedged requests.

    Attributes:
        share: Most hedges as a share of the requests of a service, over all
            gate hosts; 0 for no limit of its own.
        routes: Names of the routes whose requests may be hedged; empty for all.
    """

    share: float = 0.0
    routes: frozenset[str] = frozenset()


def parse(
    variables: Mapping[str, str],
) -> result.Result[HedgeSettings, list[str]]:
    """Parses the variables; the errors name every invalid one.

    A variable that is empty counts as not set.
    """
    errors: list[str] = []
    settings = HedgeSettings(
        share=_share(variables.get(PERCENT_VARIABLE, ""), errors),
        routes=_routes(variables.get(ROUTES_VARIABLE, ""), errors),
    )
    return result.Err(errors) if errors else result.Ok(settings)


def _share(text: str, errors: list[str]) -> float:
    if not text:
        return 0.0
    if not _DECIMAL.fullmatch(text):
        errors.append(
            f"{PERCENT_VARIABLE}: found {text!r}; give a decimal number from 0"
            f" to {MAX_PERCENT}"
        )
        return 0.0
    percent = decimal.Decimal(text)
    if percent > MAX_PERCENT:
        errors.append(
            f"{PERCENT_VARIABLE}: found {text}; give at most {MAX_PERCENT}"
        )
    return float(percent / 100)


def _routes(text: str, errors: list[str]) -> frozenset[str]:
    if not text:
        return frozenset()
    names = [name.strip() for name in text.split(",")]
    if not all(names):
        errors.append(
            f"{ROUTES_VARIABLE}: found {text!r}; give names of routes,"
            " separated by commas"
        )
    return frozenset(names)
