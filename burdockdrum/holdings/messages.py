"""Messages between entries about the prefix caches of endpoints.

The structs are encoded as arrays to save bytes; for compatibility, fields are
only ever added at the end.
"""

from typing import ClassVar

import msgspec

from burdockdrum.peers import Message


class PrefixCacheChange(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True
):
    """A change of an endpoint's prefix cache, as the endpoint reported it.

    ``epoch`` identifies the cache and changes when the endpoint restarts.
    ``number`` is the number of the last event included. ``tokens_by_part``
    has the tokens now cached of each changed part, 0 if it was evicted. In a
    snapshot, marked by ``is_snapshot``, parts not listed are not cached. If
    ``is_unreachable``, nothing can be fetched from the endpoint.
    """

    endpoint_id: str
    address: str
    data_centre: str
    epoch: int
    number: int
    tokens_by_part: dict[str, int]
    is_snapshot: bool = False
    is_unreachable: bool = False


class PrefixCacheQuery(Message, frozen=True, kw_only=True, array_like=True):
    """A starting entry requests another entry's table.

    The answer is a ``PrefixCacheUpdate``.
    """

    wire_kind: ClassVar[str | None] = "holdings.HoldingsQuestion"


class PrefixCacheUpdate(Message, frozen=True, kw_only=True, array_like=True):
    """The changes since the last update, or all caches as an answer.

    ``forward_to_data_centre`` has the receiver forward the changes to the
    entries of its data centre, ``forward_to_region`` to the other data
    centres of its region as well.
    """

    wire_kind: ClassVar[str | None] = "holdings.HoldingsNotice"

    changes: list[PrefixCacheChange]
    forward_to_data_centre: bool = False
    forward_to_region: bool = False
