"""State of API keys: the organisations in force and the proof of them."""

import attrs

from fireflyspindle.core import published


@attrs.define
class Proof:
    """How this host knows that no newer configuration exists.

    Attributes:
        proven_us: Latest time at which the store is known to have held no
            configuration newer than the one in force here; None before the
            first proof.
        needed_since_us: Time since which proofs are needed; None while they
            are not.
        next_due_us: Time of the next scheduled check, or None.
        asking: Whether a reader has been asked and has not answered yet.
        failed_asks: Number of failed asks since the followed reader changed;
            selects the reader that is asked.
        followed: Reader that this host followed at the latest ask.
        unsupported: Whether the latest reader asked does not know the request.
        differed: Whether the latest reader asked had another version.
        lost: Whether the loss of the proof has been logged.
    """

    proven_us: int | None = None
    needed_since_us: int | None = None
    next_due_us: int | None = None
    asking: bool = False
    failed_asks: int = 0
    followed: str | None = None
    unsupported: bool = False
    differed: bool = False
    lost: bool = False


@attrs.define
class KeyState:
    """The organisations in force.

    Attributes:
        enforced: Whether requests need a key, except on public routes.
        by_digest: Organisation by the digest of each of its keys.
        by_name: Organisation by name.
        proof: Proof that no newer configuration exists.
    """

    enforced: bool = False
    by_digest: dict[str, published.Organisation] = attrs.field(factory=dict)
    by_name: dict[str, published.Organisation] = attrs.field(factory=dict)
    proof: Proof = attrs.field(factory=Proof)

    def replace(self, document: published.Document) -> None:
        """Replaces all organisations with those of a newer document.

        A key of several organisations belongs to the first of them.
        """
        self.enforced = bool(document.organisations)
        self.by_digest = {}
        self.by_name = {}
        for organisation in document.organisations:
            self.by_name.setdefault(organisation.name, organisation)
            for digest in organisation.key_digests:
                self.by_digest.setdefault(digest, organisation)
