"""State of the gate hosts that may carry calls for this one."""

import attrs

from fireflyspindle.core import events
from fireflyspindle.core import records
from fireflyspindle.core import targets


@attrs.define
class Helper:
    """A gate host that may carry calls for this one.

    Attributes:
        address: Where it takes calls.
        target: Counts this host's calls there, as for a target.
        avoided_until_us: Time until which it gets no calls, since it could not
            carry one.
    """

    address: events.HelperAddress
    target: targets.Target
    avoided_until_us: int = 0


@attrs.define
class Helpers:
    """The gate hosts that may carry calls for this one.

    Attributes:
        by_address: The hosts by address.
        listed_us: Time of the latest list; None before the first.
        requested_us: Time of the latest request for a list, or None.
        request_scheduled: Whether the next request is scheduled.
    """

    by_address: dict[str, Helper] = attrs.field(factory=dict)
    listed_us: int | None = None
    requested_us: int | None = None
    request_scheduled: bool = False


def new_helper(address: events.HelperAddress) -> Helper:
    """Returns a host that has not carried any call yet."""
    spec = records.TargetSpec(
        address.address, failure_domain=address.failure_domain
    )
    return Helper(address, targets.Target(spec))
