"""State of the requests that were in progress at targets when these crashed."""

import attrs

from fireflyspindle.core import events


@attrs.define
class LostConnections:
    """Requests that lost their connection to a target, before it is known why.

    Attributes:
        service: Name of the target's service.
        lost_us: Time of the first loss.
        fingerprints: Fingerprints of the requests.
        refused: Whether the target has refused a connection since.
        crashed: Whether the target has crashed.
    """

    service: str
    lost_us: int
    fingerprints: set[str] = attrs.field(factory=set)
    refused: bool = False
    crashed: bool = False


@attrs.define
class Crash:
    """A crash of a target while a request was in progress.

    Attributes:
        crashed_us: Time of the crash.
        reported: Whether it was, or is being, written to the store.
        stored: Whether it was read from the store.
    """

    crashed_us: int
    reported: bool = False
    stored: bool = False


@attrs.define
class Suspect:
    """A request that was in progress at targets when these crashed.

    Attributes:
        service: Name of the service of these targets.
        crashes: The crashes by target.
        repeated_us: Latest time, known to all hosts, at which the request came
            again and was refused; None before that.
        refused: Copies that this host has refused.
    """

    service: str
    crashes: dict[events.TargetStart, Crash] = attrs.field(factory=dict)
    repeated_us: int | None = None
    refused: int = 0

    @property
    def crashed_us(self) -> int:
        """Time of the latest crash."""
        return max(crash.crashed_us for crash in self.crashes.values())

    @property
    def used_us(self) -> int:
        """Time at which the request was last seen, as all hosts know it."""
        if self.repeated_us is None:
            return self.crashed_us
        return max(self.crashed_us, self.repeated_us)


@attrs.define
class CrashState:
    """What this host knows of crashes of targets.

    Attributes:
        checks: Lost connections whose reason is being found out, by target.
        suspects: Requests that may have caused crashes, by fingerprint.
        crashed_starts: Targets that crashed, and possibly some whose crash is
            no longer evidence.
        unsent: Records to be written to the store, by key; None removes the
            record.
        in_flight: Records that are being written.
        last_append_id: Number of the latest append.
        append_failures: Appends that failed since the latest success.
        append_paused_until_us: Time of the next append after a failed one.
        report_scheduled: Whether a write of new crashes is scheduled.
        expiry_scheduled: Whether the next removal of old crashes is scheduled.
    """

    checks: dict[events.TargetStart, LostConnections] = attrs.field(
        factory=dict
    )
    suspects: dict[str, Suspect] = attrs.field(factory=dict)
    crashed_starts: set[events.TargetStart] = attrs.field(factory=set)
    unsent: dict[events.CrashKey, events.CrashRecord | None] = attrs.field(
        factory=dict
    )
    in_flight: dict[events.CrashKey, events.CrashRecord | None] = attrs.field(
        factory=dict
    )
    last_append_id: int = 0
    append_failures: int = 0
    append_paused_until_us: int = 0
    report_scheduled: bool = False
    expiry_scheduled: bool = False
