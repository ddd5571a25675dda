"""The frame that carries messages, and their base class.

Messages are ``msgspec.Struct`` rather than frozen data classes: only those
decode in strict, typed form. Unknown fields from a newer version of a peer
are ignored, so that VMs can be upgraded one by one.
"""

from dataclasses import dataclass
from typing import ClassVar

import msgspec

from burdockdrum.timeline import Stamp


class Message(msgspec.Struct, frozen=True, kw_only=True):
    """The base class of what one process tells another.

    A class that was renamed or moved sets ``wire_kind`` to the kind that it
    had, so that peers of other versions still know its messages.
    """

    wire_kind: ClassVar[str | None] = None

    @classmethod
    def kind(cls) -> str:
        """Return the name on the wire.

        That is the class's own ``wire_kind``, else the package and the class.
        """
        # Not inherited: two classes of one kind would be taken for each other.
        wire_kind: str | None = cls.__dict__.get("wire_kind")
        if wire_kind is not None:
            return wire_kind
        package = cls.__module__.removeprefix("burdockdrum.").split(".")[0]
        return f"{package}.{cls.__name__}"


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """One message; ``call_id`` is 0 where no reply is expected."""

    kind: str
    call_id: int
    is_reply: bool
    body: msgspec.Raw


class Frame(msgspec.Struct, frozen=True, array_like=True):
    """The messages that go to one peer together.

    ``heard_age`` is how many seconds ago the sender last heard from the
    receiver, None if never.
    """

    sender_id: str
    sender_address: str
    incarnation: int
    stamp: Stamp
    envelopes: list[Envelope]
    heard_age: float | None = None


@dataclass(frozen=True, kw_only=True)
class Sender:
    """Where a message came from, as its frame says."""

    vm_id: str
    address: str
    incarnation: int
