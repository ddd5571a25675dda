"""Messages by which entries report the usage of teams to each other."""

from typing import ClassVar

import msgspec

from burdockdrum.peers import Message


class TeamUsage(msgspec.Struct, frozen=True, array_like=True):
    """A team's usage and demand per second, in the unit of its limit.

    An aggregator also reports ``burst_used``, the used amount of the team's
    burst, and ``reserved``, the fraction of the limit that is reserved for
    unreachable data centres.
    """

    team: str
    used: float
    requested: float
    burst_used: float = 0.0
    reserved: float = 0.0


class UsageReport(Message, frozen=True, kw_only=True, array_like=True):
    """An entry's own usage, sent to the aggregator of its data centre."""

    wire_kind: ClassVar[str | None] = "quotas.UseNotice"

    uses: list[TeamUsage]


class OthersUsage(Message, frozen=True, kw_only=True, array_like=True):
    """The aggregator's reply: the usage of all other entries."""

    wire_kind: ClassVar[str | None] = "quotas.OthersUse"

    uses: list[TeamUsage]


class DataCentreUsage(Message, frozen=True, kw_only=True, array_like=True):
    """The usage of a data centre, sent to the aggregators of the others.

    ``aggregator`` is the address of the data centre's aggregator.
    ``forwarded`` is set by an entry that forwards the message to the
    aggregator of its own data centre, so that it is forwarded at most once.
    """

    wire_kind: ClassVar[str | None] = "quotas.DataCentreUse"

    data_centre: str
    aggregator: str
    uses: list[TeamUsage]
    forwarded: bool = False
