"""Decode data with one error for all that can be wrong with it.

Data that is nested too deeply raises ``RecursionError`` in msgspec, also in a
field that the expected type does not name.
"""

from collections.abc import Callable
from typing import Annotated
from typing import Protocol
from typing import TypeVar

import msgspec

# msgpack, in which VMs send and store numbers, has no larger integers.
Int64 = Annotated[int, msgspec.Meta(ge=-(2**63), le=2**63 - 1)]

T = TypeVar("T")
T_co = TypeVar("T_co", covariant=True)


class InvalidData(ValueError):
    """Data can't be decoded as the expected type."""


class Decoder(Protocol[T_co]):
    """A decoder of msgspec for JSON or msgpack."""

    def decode(self, data: bytes, /) -> T_co:
        """Decode data of the expected type."""


def decode(decoder: Decoder[T], data: bytes) -> T:
    """Decode data with a decoder that was made once.

    :raises InvalidData: naming the field that is invalid
    """
    return _call(lambda: decoder.decode(data))


def decode_json(data: bytes, expected: type[T]) -> T:
    """Decode JSON as a type.

    :raises InvalidData: naming the field that is invalid
    """
    return _call(lambda: msgspec.json.decode(data, type=expected))


def decode_msgpack(data: bytes | msgspec.Raw, expected: type[T]) -> T:
    """Decode msgpack as a type.

    :raises InvalidData: naming the field that is invalid
    """
    return _call(lambda: msgspec.msgpack.decode(data, type=expected))


def _call(run: Callable[[], T]) -> T:
    try:
        return run()
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise InvalidData(str(error)) from error
    except RecursionError as error:
        raise InvalidData("the data is nested too deeply") from error
