"""How long the attempts of one service and route have been at work.

Users' services mix quick and slow work in every proportion, so that neither a
mean nor a deviation bounds the next answer. The longest of n answers does,
without an assumption about their distribution: among n + 1 answers of the same
kind, each is equally likely to be the longest, so the next one takes longer
than the others with a probability of 1 / (n + 1).
"""

import attrs

# Answers after which a generation ends; the latest one to two generations
# count. A slow request among some hundred quick ones is seen, and a single old
# one does not count for ever.
GENERATION_ANSWERS = 256
# Fewest answers that bound the next one.
MIN_ANSWERS = 8


@attrs.define
class AnswerTimes:
    """Times from the send of an attempt to the end of its answer.

    Attributes:
        started_us: Times at which the attempts in flight were sent, oldest
            first, by the numbers of their call and of the attempt.
        answers: Answers of the current generation.
        longest_us: Longest attempt of the current generation.
        previous_answers: Answers of the generation before.
        previous_longest_us: Longest attempt of the generation before.
    """

    started_us: dict[tuple[int, int], int] = attrs.field(factory=dict)
    answers: int = 0
    longest_us: int = 0
    previous_answers: int = 0
    previous_longest_us: int = 0

    @property
    def recent_longest_us(self) -> int:
        """Longest recent attempt."""
        return max(self.longest_us, self.previous_longest_us)

    @property
    def is_known(self) -> bool:
        """Whether there are enough recent answers."""
        return self.answers + self.previous_answers >= MIN_ANSWERS


def on_sent(times: AnswerTimes, attempt: tuple[int, int], now_us: int) -> None:
    """Adds an attempt that is sent."""
    times.started_us[attempt] = now_us


def on_ended(
    times: AnswerTimes,
    attempt: tuple[int, int],
    now_us: int,
    *,
    is_answer: bool,
) -> None:
    """Adds the time of an attempt that has ended.

    Args:
        times: Times of its service and route.
        attempt: Numbers of its call and of the attempt.
        now_us: Monotonic time.
        is_answer: Whether it ended with a complete answer of the service. An
            attempt that was given up would have lasted at least as long, but
            is no sample of the answers.
    """
    started_us = times.started_us.pop(attempt, None)
    if started_us is None:
        return
    times.longest_us = max(times.longest_us, now_us - started_us)
    if not is_answer:
        return
    times.answers += 1
    if times.answers >= GENERATION_ANSWERS:
        times.previous_answers = times.answers
        times.previous_longest_us = times.longest_us
        times.answers = 0
        times.longest_us = 0


def outlasted_at_us(times: AnswerTimes) -> int | None:
    """Returns when the oldest attempt in flight outlasts all recent ones."""
    if not times.started_us:
        return None
    oldest_us = next(iter(times.started_us.values()))
    return oldest_us + times.recent_longest_us + 1


def longest_us(times: AnswerTimes, now_us: int) -> int | None:
    """Returns a bound on the time of the next answer.

    Returns:
        The longest recent attempt; None if there are few answers or an attempt
        in flight outlasts them all, so that they bound nothing.
    """
    if not times.is_known:
        return None
    at_us = outlasted_at_us(times)
    if at_us is not None and now_us >= at_us:
        return None
    return times.recent_longest_us
