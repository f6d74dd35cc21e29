"""What is known of the cold time of a target, besides its entry."""

import attrs


@attrs.define
class ColdState:
    """State of a target that is or was cold.

    Attributes:
        stated_until_us: End of the cold time that its answers state.
        assumed_until_us: End of the cold time after an evacuation.
        assumed_sequence: Sequence of its entry at the end of the evacuation; a
            later entry replaces the assumption.
    """

    stated_until_us: int = 0
    assumed_until_us: int = 0
    assumed_sequence: int = 0
