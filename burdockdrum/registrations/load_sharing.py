"""Entries of a region tell each other what they have under way.

An entry that did not know what others have sent would send to an endpoint that
only seems idle.

A few entries each tell all others of changes, ten times a second. With n
entries that would be n * n messages: above a handful, each tells one entry
of its data centre, the keeper, and hears from it of everything else. Keepers
of a region tell each other. So an entry sends and receives a few messages a
second however many others there are.
"""

from collections.abc import Callable
from collections.abc import Iterable

import msgspec

from burdockdrum.logs import log_decision
from burdockdrum.peers import Message
from burdockdrum.peers import Peers
from burdockdrum.peers import Sender
from burdockdrum.peers import VmIdentity
from burdockdrum.ports import Clock
from burdockdrum.registrations.load_sums import add_up
from burdockdrum.registrations.load_sums import from_wire
from burdockdrum.registrations.load_sums import LoadById
from burdockdrum.registrations.load_sums import LoadSums
from burdockdrum.registrations.load_sums import to_wire
from burdockdrum.registrations.loads import Load
from burdockdrum.registrations.messages import DataCentreLoad
from burdockdrum.registrations.messages import LoadNotice
from burdockdrum.registrations.messages import PlacedParts
from burdockdrum.registrations.messages import RegionLoad
from burdockdrum.registrations.messages import ServiceRoom
from burdockdrum.registrations.placed_parts import PlacedNotices
from burdockdrum.vms import FarKeepers
from burdockdrum.vms import KeeperChoice

TELL_SECONDS = 0.1
# So many others are told directly: as many messages as a keeper would take.
MAX_TOLD_DIRECTLY = 4
# A keeper hears and answers 40 notices a second, whatever the number of
# entries: a hundredth of a core.
SECONDS_AN_ENTRY = 0.025
# Data centres of a region tell each other so often.
DATA_CENTRE_SECONDS = 0.25
# Unchanged loads are told so often, so that the others don't drop them.
REPEAT_SECONDS = 0.5
KEEP_SECONDS = 1.5


class LoadSharing:
    """What the other entries of this region have at each endpoint."""

    def __init__(
        self,
        *,
        peers: Peers,
        clock: Clock,
        read_entries: Callable[[], Iterable[VmIdentity]],
        read_draining: Callable[[], bool] = bool,
        read_load: Callable[[], LoadById] = dict,
        read_rooms: Callable[[], list[ServiceRoom]] = list,
    ) -> None:
        """Know of no load.

        :param read_entries: returns the other entries of this region
        :param read_draining: returns whether others leave this VM out
        :param read_load: returns what this VM has under way, by endpoint
        :param read_rooms: returns what this VM has heard of each region
        """
        self.read_load = read_load
        self.take_placed: Callable[[], list[PlacedParts]] = list
        self.hear_placed: Callable[[list[PlacedParts]], None] = _ignore
        self._own = peers.identity
        self._peers = peers
        self._clock = clock
        self._read_entries = read_entries
        self._read_draining = read_draining
        self._read_rooms = read_rooms
        self._keepers = KeeperChoice(own=self._own)
        self._keeper: VmIdentity | None = None
        # The entries whose load this one should know of, but for its own.
        self._others = 0
        self._interval = TELL_SECONDS
        self._answered_at = float("-inf")
        self._far_keepers = FarKeepers(
            own=self._own, keep_seconds=KEEP_SECONDS
        )
        self._here = LoadSums()
        self._elsewhere = LoadSums()
        self._reply_source: str | None = None
        self._placed = PlacedNotices()
        self._told: LoadById = {}
        self._told_at = float("-inf")
        self._rooms: list[ServiceRoom] = []
        peers.register(LoadNotice, self._take_notice)
        peers.register(RegionLoad, self._take_region_load)
        peers.register(DataCentreLoad, self._take_data_centre_load)

    @property
    def is_keeper(self) -> bool:
        """Say whether this entry sums up for its data centre."""
        return self._keeper == self._own

    @property
    def rooms(self) -> list[ServiceRoom]:
        """Return what each region has under way, as heard last."""
        if self._clock.monotonic() - self._answered_at <= KEEP_SECONDS:
            return self._rooms
        return self._read_rooms()

    @property
    def lag(self) -> float:
        """Return how many seconds old the others' loads are, on average.

        A load waits half an interval at its entry, and for a keeper's
        answer since the last one.
        """
        if not self._others:
            return 0.0
        if self._keeper is None:
            return TELL_SECONDS
        if self.is_keeper:
            return self._interval
        age = self._clock.monotonic() - self._answered_at
        return min(KEEP_SECONDS, age + self._interval / 2)

    @property
    def unheard(self) -> int:
        """Return how many entries of this region tell nothing just now.

        After a start of everything nobody knows of others yet. Who has not
        been heard of is taken to do what this entry does, so that the first
        endpoints that are known are not filled by all.
        """
        if self._keeper is None or self.is_keeper:
            return max(0, self._others - self._here.sources)
        is_told = self._here.sources > 0
        return 0 if is_told else self._others

    def load_of(self, endpoint_id: str) -> Load:
        """Return what the other entries have under way at an endpoint."""
        here = self._here.load_of(endpoint_id)
        elsewhere = self._elsewhere.load_of(endpoint_id)
        if not elsewhere.sums_by_rank:
            return here
        load = Load()
        load.merge(here)
        load.merge(elsewhere)
        return load

    def read_report(self) -> LoadById | None:
        """Return what control VMs are told, None if another tells them."""
        if self._keeper is None:
            return self.read_load()
        return to_wire(self._sum_here()) if self.is_keeper else None

    async def run(self) -> None:
        """Tell the others until cancelled."""
        while True:
            await self._clock.sleep(self._tick())

    def _tick(self) -> float:
        """Tell who is to be told; return the seconds until the next time."""
        now = self._clock.monotonic()
        others = list(self._read_entries())
        self._others = self._count(others)
        self._here.prune(now - KEEP_SECONDS)
        self._elsewhere.prune(now - KEEP_SECONDS)
        self._set_keeper(self._choose_keeper(others, now))
        if self._keeper is None:
            self._tell([e.control_address for e in others], now, asks=False)
            return TELL_SECONDS
        neighbours = sum(self._is_neighbour(entry) for entry in others)
        interval = SECONDS_AN_ENTRY * (neighbours + 1)
        self._interval = max(TELL_SECONDS, interval)
        if self.is_keeper:
            self._tell_data_centres(others, now)
            return DATA_CENTRE_SECONDS
        if self._tell([self._keeper.control_address], now, asks=True):
            self._keepers.note_asked(self._keeper.vm_id, now)
        return self._interval

    def _choose_keeper(
        self, others: list[VmIdentity], now: float
    ) -> VmIdentity | None:
        if len(others) <= MAX_TOLD_DIRECTLY:
            return None
        neighbours = [e for e in others if self._is_neighbour(e)]
        may_keep = not self._read_draining()
        return self._keepers.choose(neighbours, now, may_keep=may_keep)

    def _count(self, others: list[VmIdentity]) -> int:
        """Count entries; another data centre is heard of as one."""
        here = sum(self._is_neighbour(entry) for entry in others)
        return here if self.is_keeper else len(others)

    def _set_keeper(self, keeper: VmIdentity | None) -> None:
        if keeper == self._keeper:
            return
        self._keeper = keeper
        # The next notice goes to another VM, which knows nothing yet.
        self._told_at = float("-inf")
        log_decision(
            "loads.keeper_chosen",
            about_vm=keeper.vm_id if keeper is not None else None,
        )

    def _is_neighbour(self, entry: VmIdentity) -> bool:
        return entry.data_centre == self._own.data_centre

    def _tell(self, addresses: list[str], now: float, *, asks: bool) -> bool:
        load = self.read_load()
        placed = self.take_placed()
        is_same = load == self._told and not placed
        if is_same and not asks and now - self._told_at < REPEAT_SECONDS:
            return False
        self._told, self._told_at = load, now
        notice = LoadNotice(load_by_id=load, placed=placed, asks=asks)
        for address in addresses:
            self._peers.send(address, notice)
        return True

    def _tell_data_centres(self, others: list[VmIdentity], now: float) -> None:
        self._placed.add(self._own.vm_id, self.take_placed())
        address_by_data_centre = self._far_keepers.find_all(others, now)
        load = to_wire(self._sum_here())
        foreign = frozenset(map(_name_data_centre, address_by_data_centre))
        for name, address in address_by_data_centre.items():
            source = _name_data_centre(name)
            message = DataCentreLoad(
                data_centre=self._own.data_centre,
                keeper=self._own.control_address,
                load_by_id=load,
                placed=self._placed.take_for(source, without=foreign),
            )
            self._peers.send(address, message)

    def _sum_here(self) -> dict[str, Load]:
        """Return what this data centre has under way, by endpoint."""
        return add_up(self._here.sums_by_id, from_wire(self.read_load()))

    async def _take_notice(
        self, sender: Sender, message: LoadNotice
    ) -> Message | None:
        now = self._clock.monotonic()
        if message.asks and self._reply_source is not None:
            # It holds all that this VM is now told piece by piece.
            self._here.drop(self._reply_source)
            self._reply_source = None
        self._here.put(sender.vm_id, message.load_by_id, now)
        self.hear_placed(message.placed)
        self._placed.add(sender.vm_id, message.placed)
        if message.asks:
            self._peers.send(sender.address, self._answer(sender.vm_id))
        return None

    def _answer(self, asker: str) -> RegionLoad:
        loads_by_id = add_up(
            self._here.sums_by_id,
            self._elsewhere.sums_by_id,
            from_wire(self.read_load()),
        )
        for endpoint_id, load in self._here.part_of(asker).items():
            loads_by_id[endpoint_id].take_away(load)
        self._placed.add(self._own.vm_id, self.take_placed())
        return RegionLoad(
            load_by_id=to_wire(loads_by_id),
            placed=self._placed.take_for(asker),
            rooms=self.rooms,
        )

    async def _take_region_load(
        self, sender: Sender, message: RegionLoad
    ) -> Message | None:
        now = self._clock.monotonic()
        self._keepers.note_answer(sender.vm_id)
        if self._keeper is None or sender.vm_id != self._keeper.vm_id:
            return None
        self._here.put(sender.vm_id, message.load_by_id, now)
        self._here.keep_only(sender.vm_id)
        self._reply_source = sender.vm_id
        self._elsewhere.prune(float("inf"))
        self._rooms, self._answered_at = message.rooms, now
        self.hear_placed(message.placed)
        return None

    async def _take_data_centre_load(
        self, sender: Sender, message: DataCentreLoad
    ) -> Message | None:
        if not self.is_keeper and self._keeper and not message.passed_on:
            passed_on = msgspec.structs.replace(message, passed_on=True)
            self._peers.send(self._keeper.control_address, passed_on)
            return None
        source = _name_data_centre(message.data_centre)
        now = self._clock.monotonic()
        self._far_keepers.note(message.data_centre, message.keeper, now)
        self._elsewhere.put(source, message.load_by_id, now)
        self.hear_placed(message.placed)
        self._placed.add(source, message.placed)
        return None


def _name_data_centre(name: str) -> str:
    """Return the source that stands for a data centre among VM ids."""
    return f"data_centre:{name}"


def _ignore(placed: list[PlacedParts]) -> None:
    """Drop what nobody asks for."""
