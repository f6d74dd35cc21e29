"""Data about the incarnations of targets."""

import collections
import enum

import attrs

MAX_PAST_IDS = 32


class Source(enum.Enum):
    """Origin of an incarnation id; ids of different sources never match."""

    ANSWER = "answer"
    HOST_LIST = "list"


@attrs.define(frozen=True)
class LeavingNotice:
    """A notice that one incarnation of a target is leaving.

    Attributes:
        address: Address of the target, "ip:port".
        ids: Ids of the incarnation, each "answer:ID" or "list:ID"; empty
            if none is known.
    """

    address: str
    ids: tuple[str, ...] = ()


def _bounded_ids() -> collections.deque[str]:
    return collections.deque(maxlen=MAX_PAST_IDS)


@attrs.define
class IncarnationHistory:
    """History of the incarnations at one address.

    Attributes:
        ids: Ids of the current incarnation, by source.
        leaving: Whether the current incarnation is leaving.
        past_ids: Ids of replaced incarnations.
        announced_ids: Ids that peers reported as leaving and that this host
            has not seen yet.
    """

    ids: dict[Source, str] = attrs.field(factory=dict)
    leaving: bool = False
    past_ids: collections.deque[str] = attrs.field(factory=_bounded_ids)
    announced_ids: collections.deque[str] = attrs.field(factory=_bounded_ids)

    def qualified_ids(self) -> tuple[str, ...]:
        """Returns the ids of the current incarnation with their sources."""
        return tuple(
            f"{source.value}:{incarnation_id}"
            for source, incarnation_id in self.ids.items()
        )
