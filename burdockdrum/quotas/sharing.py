"""Exchange of the teams' usage between the entries of all data centres.

Each entry reports to one entry of its data centre, the aggregator, which
replies with the usage of all others. Aggregators of different data centres
broadcast their totals to each other. No request waits for a message.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping

import msgspec

from burdockdrum.logs import log_decision
from burdockdrum.peers import Message
from burdockdrum.peers import Peers
from burdockdrum.peers import Sender
from burdockdrum.peers import VmIdentity
from burdockdrum.ports import Clock
from burdockdrum.quotas.messages import DataCentreUsage
from burdockdrum.quotas.messages import OthersUsage
from burdockdrum.quotas.messages import TeamUsage
from burdockdrum.quotas.messages import UsageReport
from burdockdrum.quotas.reservations import ReservedFractions
from burdockdrum.quotas.reservations import UNREACHABLE_TIMEOUT_SECONDS
from burdockdrum.quotas.sums import merge
from burdockdrum.quotas.sums import NO_USAGE
from burdockdrum.quotas.sums import Usage
from burdockdrum.quotas.sums import UsageSums
from burdockdrum.vms import AggregatorSelector
from burdockdrum.vms import RemoteAggregators

REPORT_INTERVAL_SECONDS = 0.2
# Limits the aggregator's load to 40 reports per second, however many entries
# there are.
REPORT_INTERVAL_PER_ENTRY_SECONDS = 0.025
# Aggregators broadcast at the first interval, or at the second while no team
# is near its limit.
BROADCAST_INTERVAL_SECONDS = 0.2
MAX_BROADCAST_INTERVAL_SECONDS = 0.4
# The last report of a removed entry has decayed by then.
SOURCE_EXPIRY_SECONDS = 10.0
# Totals are cached, as they are read for each request.
TOTALS_CACHE_SECONDS = 0.05
_AGGREGATOR = "aggregator"


class UsageSharing:
    """Exchanges usage with other entries, and totals what they report."""

    is_restartable = True

    def __init__(
        self,
        *,
        peers: Peers,
        clock: Clock,
        read_entries: Callable[[], Iterable[VmIdentity]],
        read_draining: Callable[[], bool] = bool,
        data_centres: Iterable[str] = (),
    ) -> None:
        """Create a sharing without reports.

        :param read_entries: returns the other entries of all regions
        :param read_draining: returns whether this VM is draining
        :param data_centres: the data centres that may have entries
        """
        # Callbacks, set by the meter.
        self.local_usage: Callable[[], Mapping[str, Usage]] = dict
        # The used amount of a team's burst.
        self.read_burst_used: Callable[[str], float] = _no_burst_used
        self.set_burst_used: Callable[[str, float], None] = _discard_burst_used
        # Whether any team is near its limit.
        self.is_any_near_limit: Callable[[], bool] = bool
        self._own = peers.identity
        self._peers = peers
        self._clock = clock
        self._read_entries = read_entries
        self._read_draining = read_draining
        self._aggregator_selector = AggregatorSelector(own=self._own)
        self._aggregator: VmIdentity = self._own
        self._neighbour_count = 0
        self._broadcast_at = float("-inf")
        # At an aggregator, the reports of this data centre's entries;
        # elsewhere, the last reply of the aggregator.
        self._here = UsageSums()
        # Reports of other data centres, by the address of their aggregator.
        self._elsewhere = UsageSums()
        self._remote_aggregators = RemoteAggregators(
            own=self._own, keep_seconds=UNREACHABLE_TIMEOUT_SECONDS
        )
        own = self._own.data_centre
        now = clock.monotonic()
        self._remote_reservations = ReservedFractions(
            names=[name for name in data_centres if name != own], now=now
        )
        self._aggregator_reservation = ReservedFractions(names=[], now=now)
        self._reserved_by_team: dict[str, float] = {}
        self._others: dict[str, Usage] = {}
        self._others_at = float("-inf")
        self._totals: list[TeamUsage] = []
        self._totals_at = float("-inf")
        peers.register(UsageReport, self._receive_report)
        peers.register(OthersUsage, self._receive_reply)
        peers.register(DataCentreUsage, self._receive_data_centre)

    @property
    def is_aggregator(self) -> bool:
        """Return whether this entry is its data centre's aggregator."""
        return self._aggregator == self._own

    @property
    def age(self) -> float | None:
        """Return the age in seconds of the oldest report, None if none."""
        now = self._clock.monotonic()
        reports = self._elsewhere if self.is_aggregator else self._here
        return max(reports.ages(now), default=None)

    def others(self, team: str) -> Usage:
        """Return a team's usage at all other reachable entries."""
        return self._total_others().get(team, NO_USAGE)

    def reserved_fraction(self, team: str) -> float:
        """Return the fraction of a limit reserved for unreachable entries."""
        now = self._clock.monotonic()
        if self.is_aggregator:
            return self._remote_reservations.fraction(team, now)
        reported = self._reserved_by_team.get(team, 0.0)
        unreachable = self._aggregator_reservation.fraction(team, now)
        return reported + (1 - reported) * unreachable

    async def run(self) -> None:
        """Exchange usage with the other entries until cancelled."""
        while True:
            await self._clock.sleep(self._exchange())

    def _exchange(self) -> float:
        """Send a report; return the seconds until the next one."""
        own = self.local_usage()
        if not own:
            # No team has a limit.
            return REPORT_INTERVAL_SECONDS
        now = self._clock.monotonic()
        others = list(self._read_entries())
        neighbours = [e for e in others if self._is_neighbour(e)]
        self._neighbour_count = len(neighbours)
        self._here.forget_before(now - SOURCE_EXPIRY_SECONDS)
        self._elsewhere.forget_before(now - SOURCE_EXPIRY_SECONDS)
        is_eligible = not self._read_draining()
        self._set_aggregator(
            self._aggregator_selector.choose(
                neighbours, now, is_eligible=is_eligible
            ),
            now,
        )
        if self.is_aggregator:
            if self._is_broadcast_due(now):
                self._broadcast(others, now)
                self._broadcast_at = now
            return BROADCAST_INTERVAL_SECONDS
        report = UsageReport(uses=_to_wire(own))
        self._peers.send(self._aggregator.control_address, report)
        self._aggregator_selector.record_report(self._aggregator.vm_id, now)
        return max(
            REPORT_INTERVAL_SECONDS,
            REPORT_INTERVAL_PER_ENTRY_SECONDS * (len(neighbours) + 1),
        )

    def _is_broadcast_due(self, now: float) -> bool:
        next_age = now + BROADCAST_INTERVAL_SECONDS - self._broadcast_at
        return (
            self.is_any_near_limit()
            or next_age > MAX_BROADCAST_INTERVAL_SECONDS
        )

    def _set_aggregator(self, aggregator: VmIdentity, now: float) -> None:
        if aggregator == self._aggregator:
            return
        self._aggregator = aggregator
        self._here = UsageSums()
        self._aggregator_reservation.expect(
            _AGGREGATOR, now, equal_fraction=self._neighbours_fraction
        )
        log_decision("use.keeper_chosen", about_vm=aggregator.vm_id)

    @property
    def _neighbours_fraction(self) -> float:
        """Return the fraction of this data centre's other entries."""
        return self._neighbour_count / (self._neighbour_count + 1)

    def _is_neighbour(self, entry: VmIdentity) -> bool:
        return entry.data_centre == self._own.data_centre

    def _broadcast(self, others: list[VmIdentity], now: float) -> None:
        message = DataCentreUsage(
            data_centre=self._own.data_centre,
            aggregator=self._own.control_address,
            uses=_to_wire(self._total_here(now)),
        )
        for address in self._remote_aggregators.find_addresses(
            others, now
        ).values():
            self._peers.send(address, message)

    def _total_here(self, now: float) -> dict[str, Usage]:
        """Return the usage in this data centre, by team."""
        totals = self._here.total(now)
        merge(totals, self.local_usage())
        return totals

    def _total_others(self) -> dict[str, Usage]:
        now = self._clock.monotonic()
        if now - self._others_at <= TOTALS_CACHE_SECONDS:
            return self._others
        # An unreachable source has a reserved fraction instead of usage.
        since = now - UNREACHABLE_TIMEOUT_SECONDS
        if self.is_aggregator:
            self._others = self._here.total(now)
            merge(self._others, self._elsewhere.total(now, since))
        else:
            self._others = self._here.total(now, since)
        self._others_at = now
        return self._others

    async def _receive_report(
        self, sender: Sender, message: UsageReport
    ) -> Message | None:
        now = self._clock.monotonic()
        self._here.record(sender.vm_id, message.uses, now)
        self._peers.send(sender.address, self._make_reply(sender.vm_id, now))
        return None

    def _make_reply(self, reporter: str, now: float) -> OthersUsage:
        own = self._here.read(reporter, now)
        return OthersUsage(
            uses=[
                _subtract(usage, own[usage.team])
                if usage.team in own
                else usage
                for usage in self._list_totals(now)
            ]
        )

    def _list_totals(self, now: float) -> list[TeamUsage]:
        """Return the usage of all entries, for replies."""
        if now - self._totals_at <= TOTALS_CACHE_SECONDS:
            return self._totals
        totals = dict(self._total_others())
        merge(totals, self.local_usage())
        self._totals = [
            TeamUsage(
                team,
                round(usage.used, 1),
                round(usage.requested, 1),
                round(self.read_burst_used(team), 1),
                round(self.reserved_fraction(team), 3),
            )
            for team, usage in totals.items()
        ]
        self._totals_at = now
        return self._totals

    async def _receive_reply(
        self, sender: Sender, message: OthersUsage
    ) -> Message | None:
        now = self._clock.monotonic()
        self._aggregator_selector.record_reply(sender.vm_id)
        if self.is_aggregator or sender.vm_id != self._aggregator.vm_id:
            return None
        self._here.record(sender.vm_id, message.uses, now)
        self._others_at = float("-inf")
        self._reserved_by_team = {
            usage.team: usage.reserved for usage in message.uses
        }
        for usage in message.uses:
            self.set_burst_used(usage.team, usage.burst_used)
        own = self.local_usage()
        fractions = {
            usage.team: _fraction(
                usage.requested, own.get(usage.team, NO_USAGE).requested
            )
            for usage in message.uses
        }
        self._aggregator_reservation.record(
            _AGGREGATOR,
            fractions,
            now,
            equal_fraction=self._neighbours_fraction,
        )
        return None

    async def _receive_data_centre(
        self, sender: Sender, message: DataCentreUsage
    ) -> Message | None:
        if not self.is_aggregator:
            if not message.forwarded:
                forwarded = msgspec.structs.replace(message, forwarded=True)
                self._peers.send(self._aggregator.control_address, forwarded)
            return None
        now = self._clock.monotonic()
        name = message.data_centre
        self._remote_aggregators.record(name, message.aggregator, now)
        self._elsewhere.record(message.aggregator, message.uses, now)
        own_usage, others = self.local_usage(), self._total_others()
        fractions = {}
        for usage in message.uses:
            total = others.get(usage.team, NO_USAGE).requested
            total += own_usage.get(usage.team, NO_USAGE).requested
            fractions[usage.team] = usage.requested / max(
                1.0, total, usage.requested
            )
        count = len(self._remote_aggregators) + 1
        self._remote_reservations.record(
            name, fractions, now, equal_fraction=1 / count
        )
        return None


def _subtract(usage: TeamUsage, part: Usage) -> TeamUsage:
    """Return a team's usage without that of one entry."""
    return TeamUsage(
        usage.team,
        max(0.0, usage.used - part.used),
        max(0.0, usage.requested - part.requested),
        usage.burst_used,
        usage.reserved,
    )


def _fraction(part: float, rest: float) -> float:
    return part / max(1.0, part + rest)


def _no_burst_used(team: str) -> float:
    return 0.0


def _discard_burst_used(team: str, burst_used: float) -> None:
    """Discard the aggregator's value, as there is no meter."""


def _to_wire(usage_by_team: Mapping[str, Usage]) -> list[TeamUsage]:
    """Return usage as messages carry it, without idle teams."""
    usages = [
        TeamUsage(team, round(usage.used, 1), round(usage.requested, 1))
        for team, usage in usage_by_team.items()
    ]
    return [usage for usage in usages if usage.requested or usage.used]
