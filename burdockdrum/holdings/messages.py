"""What entries tell each other of what endpoints hold in their memory.

The structs are arrays on the wire, to spend few bytes; fields are only ever
added at their ends.
"""

import msgspec

from burdockdrum.peers import Message


class HeldChange(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """What changed in an endpoint's memory, as it said itself.

    ``epoch`` names the memory: it is another one after a restart. ``number``
    is that of the last event that this includes. ``tokens_by_part`` are the
    parts of prompts with the tokens that are held now, 0 for one that is
    gone; if ``whole``, nothing else is held. One that ``is_silent`` gave no
    answer to a question: nothing can be fetched from it.
    """

    endpoint_id: str
    address: str
    data_centre: str
    epoch: int
    number: int
    tokens_by_part: dict[str, int]
    whole: bool = False
    is_silent: bool = False


class HoldingsQuestion(Message, frozen=True, kw_only=True, array_like=True):
    """An entry that has started asks for all that another one knows."""


class HoldingsNotice(Message, frozen=True, kw_only=True, array_like=True):
    """What has changed since the last notice, or all if it was asked for.

    ``passes_on`` asks the receiver to tell the entries of its data centre,
    ``to_region`` to tell the other data centres of its region as well.
    """

    changes: list[HeldChange]
    passes_on: bool = False
    to_region: bool = False
