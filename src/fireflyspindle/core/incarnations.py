"""What is known of the incarnations of targets, as plain data."""

import collections
import enum

import attrs

MAX_PAST_INCARNATIONS = 32


class Source(enum.Enum):
    """Who gives an incarnation its id; ids of two sources never compare."""

    ANSWER = "answer"
    HOST_LIST = "list"


@attrs.define(frozen=True)
class Sign:
    """A sign that one incarnation of a target is leaving.

    Attributes:
        address: Address of the target, "ip:port".
        ids: Ids of the incarnation, each "answer:ID" or "list:ID"; empty
            when it has shown none.
    """

    address: str
    ids: tuple[str, ...] = ()


def _recent() -> collections.deque[str]:
    return collections.deque(maxlen=MAX_PAST_INCARNATIONS)


@attrs.define
class Tenure:
    """The incarnations seen at one address.

    Attributes:
        ids: Ids of the present incarnation, by source.
        leaving: Whether the present incarnation is leaving.
        past: Ids of incarnations that were succeeded.
        foretold: Ids that peers said are leaving, not seen here yet.
    """

    ids: dict[Source, str] = attrs.field(factory=dict)
    leaving: bool = False
    past: collections.deque[str] = attrs.field(factory=_recent)
    foretold: collections.deque[str] = attrs.field(factory=_recent)

    def texts(self) -> tuple[str, ...]:
        """Returns the ids of the present incarnation with their sources."""
        return tuple(
            f"{source.value}:{text}" for source, text in self.ids.items()
        )
