"""Attempts of a world: requests on their way to targets, and answers back."""

import functools
import random
from typing import Protocol

from fireflyspindle.bench import fake_target
from fireflyspindle.bench import history as history_lib
from fireflyspindle.bench import virtual
from fireflyspindle.bench import world_hosts
from fireflyspindle.core import effects
from fireflyspindle.core import events

ONE_WAY_US = 500
CONNECT_FAILURE_US = 1_000
FORWARDING_US = 100
LATE_US = 2_000_000
REQUEST_LOST_SHARE = 0.05
ANSWER_LOST_SHARE = 0.05
ANSWER_CROSSED_SHARE = 0.03
ANSWER_LATE_SHARE = 0.07
ANSWER_DOUBLED_SHARE = 0.05
ANSWER_CUT_SHARE = 0.03


class World(Protocol):
    """What attempts need of the world; see `world.World`."""

    timeline: virtual.Timeline
    random: random.Random
    history: history_lib.History
    targets: dict[str, fake_target.FakeTarget]
    disturbing: bool

    def feed(self, host: world_hosts.Host, make: virtual.EventMaker) -> None:
        """Feeds an event to a gate host."""

    def tell(
        self,
        host: world_hosts.Host,
        call: int,
        outcome: effects.Outcome,
        answer_of: int | None,
    ) -> None:
        """Notes what a caller was told."""


class Attempts:
    """Carries out what gate hosts ask for between themselves and targets."""

    def __init__(self, world: World) -> None:
        self._world = world

    def send(
        self, host: world_hosts.Host, effect: effects.SendToTarget
    ) -> None:
        """Sends a request to a target."""
        target = self._world.targets[effect.target]
        sent = world_hosts.Sent(host, effect, target)
        host.sent[effect.call_id, effect.attempt] = sent
        self._world.history.sends.append(
            history_lib.SendSeen(
                effect.call_id,
                host.name,
                effect.target,
                self._world.timeline.now_us,
            )
        )
        if target.shut:
            self._fail_later(
                sent, events.FailureReason.REFUSED, CONNECT_FAILURE_US
            )
            return
        self._world.timeline.after(ONE_WAY_US, lambda: self._arrive(sent))

    def _arrive(self, sent: world_hosts.Sent) -> None:
        if sent.ended:
            return
        if sent.target.shut:
            self._fail_later(sent, events.FailureReason.REFUSED, ONE_WAY_US)
            return
        if (
            self._world.disturbing
            and self._world.random.random() < REQUEST_LOST_SHARE
        ):
            self._fail_later(
                sent, events.FailureReason.DISCONNECTED, ONE_WAY_US
            )
            return
        if sent.target.failing:
            self._answer(sent, 503, not_run=True)
            return
        sent.work = fake_target.Work(
            on_start=lambda: self._ran(sent),
            on_done=lambda: self._answer(sent, 200, not_run=False),
        )
        sent.target.take(sent.work)

    def _ran(self, sent: world_hosts.Sent) -> None:
        call = sent.effect.call_id
        self._world.history.runs.append(
            history_lib.RunSeen(
                call,
                self._world.history.calls[call].key,
                sent.target.address,
                self._world.timeline.now_us,
            )
        )

    def _answer(
        self, sent: world_hosts.Sent, status: int, not_run: bool
    ) -> None:
        report = functools.partial(self._report, sent, status, not_run)
        if not self._world.disturbing:
            self._world.timeline.after(ONE_WAY_US, report)
            return
        chance = self._world.random.random()
        if (chance := chance - ANSWER_LOST_SHARE) < 0:
            reason = events.FailureReason.DISCONNECTED
            self._fail_later(sent, reason, ONE_WAY_US)
        elif (chance := chance - ANSWER_CROSSED_SHARE) < 0:
            reason = events.FailureReason.MISMATCHED
            self._fail_later(sent, reason, ONE_WAY_US)
        elif (chance := chance - ANSWER_LATE_SHARE) < 0:
            self._world.timeline.after(LATE_US, report)
        else:
            self._world.timeline.after(ONE_WAY_US, report)
            if chance < ANSWER_DOUBLED_SHARE:
                self._world.timeline.after(2 * ONE_WAY_US, report)

    def _report(
        self, sent: world_hosts.Sent, status: int, not_run: bool
    ) -> None:
        if sent.ended:
            return
        sent.answered = True
        report = events.LoadReport(sent.target.in_flight, sent.target.leaving)
        self._world.feed(
            sent.host,
            lambda now_us: events.AttemptAnswered(
                now_us,
                sent.effect.call_id,
                sent.effect.attempt,
                status,
                not_run,
                report,
            ),
        )

    def _fail_later(
        self,
        sent: world_hosts.Sent,
        reason: events.FailureReason,
        delay_us: int,
    ) -> None:
        self._world.timeline.after(delay_us, lambda: self._fail(sent, reason))

    def _fail(
        self, sent: world_hosts.Sent, reason: events.FailureReason
    ) -> None:
        if sent.ended:
            return
        sent.ended = True
        key = (sent.effect.call_id, sent.effect.attempt)
        sent.host.sent.pop(key, None)
        self._world.feed(
            sent.host,
            lambda now_us: events.AttemptFailed(
                now_us,
                sent.effect.call_id,
                sent.effect.attempt,
                reason,
                sent=reason is not events.FailureReason.REFUSED,
            ),
        )

    def cancel(self, host: world_hosts.Host, call: int, attempt: int) -> None:
        """Closes the connection of an attempt."""
        sent = host.sent.get((call, attempt))
        if sent is None:
            return
        if sent.work is not None:
            sent.target.cancel(sent.work)
        self._fail_later(sent, events.FailureReason.CANCELLED, 0)

    def forward(
        self, host: world_hosts.Host, effect: effects.ForwardAnswer
    ) -> None:
        """Forwards an answer to its caller."""
        sent = host.sent.get((effect.call_id, effect.attempt))
        answer_of = None
        if sent is not None and sent.answered:
            answer_of = sent.effect.call_id
        if self._world.disturbing and sent is not None:
            if self._world.random.random() < ANSWER_CUT_SHARE:
                self._fail_later(
                    sent, events.FailureReason.TRUNCATED, FORWARDING_US
                )
                self._world.tell(
                    host, effect.call_id, effects.Outcome.UNKNOWN, answer_of
                )
                return
        self._world.tell(host, effect.call_id, effect.outcome, answer_of)
        if sent is None:
            return
        sent.ended = True
        del host.sent[effect.call_id, effect.attempt]
        self._world.timeline.after(
            FORWARDING_US,
            lambda: self._world.feed(
                host,
                lambda now_us: events.AttemptEnded(
                    now_us, effect.call_id, effect.attempt
                ),
            ),
        )
