"""Messages between entries about what began a stream."""

import msgspec

from burdockdrum.peers import Message
from burdockdrum.streams.origin import StreamOrigin


class OriginRecord(msgspec.Struct, frozen=True, array_like=True):
    """The origin of a stream; ``age`` is in seconds, since it was known."""

    key: bytes
    service: str
    software_version: str
    age: float = 0.0

    @property
    def origin(self) -> StreamOrigin:
        """Return the origin without its key."""
        return StreamOrigin(
            service=self.service, software_version=self.software_version
        )


class OriginNotice(Message, frozen=True, kw_only=True, array_like=True):
    """An entry asks others to keep the origins of streams.

    ``is_passed_on`` says that an entry of the receiver's data centre sent or
    forwarded it. The others are forwarded if the sender may not know all
    entries of the receiver's data centre.
    """

    records: list[OriginRecord]
    is_passed_on: bool


class OriginQuery(Message, frozen=True, kw_only=True, array_like=True):
    """An entry asks what began a stream."""

    key: bytes


class OriginReply(Message, frozen=True, kw_only=True, array_like=True):
    """What began the stream, None if the other entry doesn't know."""

    record: OriginRecord | None
