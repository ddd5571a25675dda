"""The base class of messages, and the frames that carry them.

Messages are ``msgspec.Struct`` classes, which decode strictly and by type.
Unknown fields are ignored, so that VMs of different versions can talk to each
other during a rolling upgrade.
"""

from dataclasses import dataclass
from typing import ClassVar

import msgspec

from burdockdrum.timeline import Stamp


class Message(msgspec.Struct, frozen=True, kw_only=True):
    """The base class of messages between processes.

    A class that was renamed or moved sets ``wire_kind`` to the kind that it
    had, so that peers of other versions still know its messages. An urgent
    message does not wait for others to be sent with it.
    """

    wire_kind: ClassVar[str | None] = None
    is_urgent: ClassVar[bool] = False

    @classmethod
    def kind(cls) -> str:
        """Return the name on the wire.

        That is the class's own ``wire_kind``, else the package and the class.
        """
        # Not inherited: two classes must not share a kind.
        wire_kind: str | None = cls.__dict__.get("wire_kind")
        if wire_kind is not None:
            return wire_kind
        package = cls.__module__.removeprefix("burdockdrum.").split(".")[0]
        return f"{package}.{cls.__name__}"


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """One encoded message; ``call_id`` is 0 if no reply is expected."""

    kind: str
    call_id: int
    is_reply: bool
    body: msgspec.Raw


class Frame(msgspec.Struct, frozen=True, array_like=True):
    """A batch of messages to one peer.

    ``received_age`` is the age in seconds of the last frame that the sender
    received from the receiver, None if it received none.
    """

    sender_id: str
    sender_address: str
    incarnation: int
    stamp: Stamp
    envelopes: list[Envelope]
    received_age: float | None = None


@dataclass(frozen=True, kw_only=True)
class Sender:
    """The sender of a message, as stated by its frame."""

    vm_id: str
    address: str
    incarnation: int
