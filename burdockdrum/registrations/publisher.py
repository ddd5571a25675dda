"""The control VM's part: tell entries what endpoints said."""

from collections.abc import Callable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field

from burdockdrum.peers import Message
from burdockdrum.peers import Peers
from burdockdrum.peers import Sender
from burdockdrum.ports import Clock
from burdockdrum.registrations.book import ANYWHERE
from burdockdrum.registrations.book import RegistrationBook
from burdockdrum.registrations.loads import Load
from burdockdrum.registrations.loads import RankLoad
from burdockdrum.registrations.messages import Registration
from burdockdrum.registrations.messages import ServiceRoom
from burdockdrum.registrations.messages import Watch
from burdockdrum.registrations.messages import Watched
from burdockdrum.registrations.pacing import fresh_seconds

PRUNE_SECONDS = 0.5
# A way there and back between regions is 110 ms, a lost packet is sent anew
# after 200 ms: what was not confirmed by then is told again.
CONFIRM_SECONDS = 0.4
# What an entry has under way is told twice a second, and old news after so
# long.
LOAD_SECONDS = 2.0
# Entries count each other high for the limits that they share: one that may
# only be cut off still holds its share.
COUNT_SECONDS = 20.0


@dataclass(kw_only=True)
class _Watcher:
    """``serial`` is what it has confirmed, ``told_serial`` what it was told.

    The latter only counts changes that concern its region.
    """

    address: str
    region: str
    incarnation: int
    serial: int
    heard_at: float
    told_serial: int = 0
    told_at: float = float("-inf")
    load_by_id: dict[str, list[RankLoad]] = field(default_factory=dict)
    load_at: float = float("-inf")

    def is_behind(self, now: float) -> bool:
        """Say whether what it was told must have been lost."""
        if self.serial >= self.told_serial:
            return False
        return now - self.told_at >= CONFIRM_SECONDS


class RegistrationPublisher:
    """Send changes to the entries that watch, at once and when asked."""

    def __init__(
        self,
        *,
        peers: Peers,
        clock: Clock,
        book: RegistrationBook,
        regions_by_data_centre: Mapping[str, str],
        read_revision: Callable[[], int],
    ) -> None:
        """Answer entries from now on."""
        self._peers = peers
        self._clock = clock
        self._book = book
        self._regions_by_data_centre = dict(regions_by_data_centre)
        self._read_revision = read_revision
        self._watchers_by_id: dict[str, _Watcher] = {}
        book.listeners.append(self._take_change)
        peers.register(Watch, self._take_watch)

    async def run(self) -> None:
        """Notice silent endpoints, and tell again what was lost."""
        while True:
            self._book.prune()
            self._tell_again()
            await self._clock.sleep(PRUNE_SECONDS)

    def count_watchers(self, region: str | None = None) -> int:
        """Return how many entries may be alive, of one region or of all."""
        since = self._clock.monotonic() - COUNT_SECONDS
        return sum(
            watcher.heard_at >= since
            and (region is None or watcher.region == region)
            for watcher in self._watchers_by_id.values()
        )

    async def _take_watch(
        self, sender: Sender, message: Watch
    ) -> Message | None:
        now = self._clock.monotonic()
        watcher = self._watchers_by_id.get(sender.vm_id)
        if watcher is not None and watcher.incarnation > sender.incarnation:
            return None
        if watcher is None or watcher.incarnation < sender.incarnation:
            watcher = _Watcher(
                address=sender.address,
                region=message.region,
                incarnation=sender.incarnation,
                serial=0,
                heard_at=now,
            )
            self._watchers_by_id[sender.vm_id] = watcher
        epoch = self._peers.identity.incarnation
        watcher.serial = message.serial if message.epoch == epoch else 0
        watcher.heard_at = now
        if message.load_by_id is not None:
            watcher.load_by_id, watcher.load_at = message.load_by_id, now
        if not message.confirms:
            reports = message.load_by_id is not None
            self._send(watcher, with_rooms=reports)
        self._forget_watchers(now)
        return None

    def _take_change(self, registration: Registration) -> None:
        region = self._regions_by_data_centre.get(registration.data_centre)
        everywhere = registration.data_centre == ANYWHERE
        for watcher in self._fresh_watchers():
            if everywhere or watcher.region == region:
                self._tell(watcher)

    def _tell_again(self) -> None:
        """Send anew what an entry has not confirmed.

        What was on a connection that broke is gone.
        """
        now = self._clock.monotonic()
        for watcher in self._fresh_watchers():
            if watcher.is_behind(now):
                self._tell(watcher)

    def _tell(self, watcher: _Watcher) -> None:
        watcher.told_serial = self._book.serial
        watcher.told_at = self._clock.monotonic()
        self._send(watcher, with_rooms=False)

    def _fresh_watchers(self) -> list[_Watcher]:
        seconds = fresh_seconds(len(self._watchers_by_id))
        since = self._clock.monotonic() - seconds
        return [
            watcher
            for watcher in self._watchers_by_id.values()
            if watcher.heard_at >= since
        ]

    def _send(self, watcher: _Watcher, *, with_rooms: bool) -> None:
        data_centres = frozenset(
            name
            for name, region in self._regions_by_data_centre.items()
            if region == watcher.region
        )
        book = self._book
        message = Watched(
            epoch=self._peers.identity.incarnation,
            after=watcher.serial,
            serial=book.serial,
            registrations=book.changes_after(watcher.serial, data_centres),
            rooms=self._sum_rooms() if with_rooms else None,
            entries_here=self.count_watchers(watcher.region),
            entries_everywhere=self.count_watchers(),
            revision=self._read_revision(),
        )
        self._peers.send(watcher.address, message)

    def _sum_rooms(self) -> list[ServiceRoom]:
        loads_by_id = self._sum_loads()
        sums: dict[tuple[str, str], tuple[int, int, Load]] = {}
        for registration in self._book.live():
            region = self._regions_by_data_centre.get(registration.data_centre)
            if region is None:
                continue
            key = (region, registration.service)
            endpoints, slots, load = sums.get(key, (0, 0, Load()))
            own = loads_by_id.get(registration.endpoint_id)
            if own is not None:
                load.merge(own)
            sums[key] = (endpoints + 1, slots + registration.slots, load)
        return [
            ServiceRoom(region, service, endpoints, slots, load.ranks())
            for (region, service), (endpoints, slots, load) in sums.items()
        ]

    def _sum_loads(self) -> dict[str, Load]:
        since = self._clock.monotonic() - LOAD_SECONDS
        sums: dict[str, Load] = {}
        for watcher in self._watchers_by_id.values():
            if watcher.load_at < since:
                continue
            for endpoint_id, ranks in watcher.load_by_id.items():
                load = sums.setdefault(endpoint_id, Load())
                load.merge(Load.of(ranks))
        return sums

    def _forget_watchers(self, now: float) -> None:
        for vm_id, watcher in list(self._watchers_by_id.items()):
            if now - watcher.heard_at > COUNT_SECONDS:
                del self._watchers_by_id[vm_id]
