"""Entries of a region tell each other what they have under way.

Failure: several entries see the same endpoint idle and all send there.
Symptom: a short request waits a second behind a long prompt that another
entry has sent a moment before. Each entry tells the others of its region of
changes ten times a second; more rarely where there are many, so that the
messages stay below a hundredth of a core.
"""

from collections.abc import Callable
from collections.abc import Iterable

from burdockdrum.peers import Message
from burdockdrum.peers import Peers
from burdockdrum.peers import Sender
from burdockdrum.ports import Clock
from burdockdrum.registrations.loads import Load
from burdockdrum.registrations.loads import RankLoad
from burdockdrum.registrations.messages import LoadNotice
from burdockdrum.registrations.messages import PlacedParts

TELL_SECONDS = 0.1
# With so many others in the region each is told at longer intervals.
OTHERS_A_TELL = 4
# Unchanged loads are told so often, so that the others don't drop them.
REPEAT_SECONDS = 0.5
KEEP_SECONDS = 1.5
_NO_LOAD = Load()


class LoadSharing:
    """What the other entries of this region have at each endpoint."""

    def __init__(
        self,
        *,
        peers: Peers,
        clock: Clock,
        read_addresses: Callable[[], Iterable[str]],
        read_load: Callable[[], dict[str, list[RankLoad]]] = dict,
    ) -> None:
        """Know of no load.

        :param read_addresses: returns where the other entries are told
        :param read_load: returns what this VM has under way, by endpoint
        """
        self.read_load = read_load
        self.take_placed: Callable[[], list[PlacedParts]] = list
        self.hear_placed: Callable[[list[PlacedParts]], None] = _ignore
        self._peers = peers
        self._clock = clock
        self._read_addresses = read_addresses
        self._told: dict[str, list[RankLoad]] = {}
        self._told_at = float("-inf")
        self._loads_by_vm_id: dict[str, dict[str, Load]] = {}
        # Summed up when first asked for after a notice.
        self._totals_by_id: dict[str, Load] | None = None
        self._heard_at_by_vm_id: dict[str, float] = {}
        peers.register(LoadNotice, self._take_notice)

    def load_of(self, endpoint_id: str) -> Load:
        """Return what the other entries have under way at an endpoint."""
        if self._totals_by_id is None:
            self._totals_by_id = self._sum_up()
        return self._totals_by_id.get(endpoint_id, _NO_LOAD)

    async def run(self) -> None:
        """Tell the others until cancelled."""
        while True:
            addresses = list(self._read_addresses())
            self._tell(addresses)
            self._prune()
            ticks = 1 + len(addresses) // OTHERS_A_TELL
            await self._clock.sleep(TELL_SECONDS * ticks)

    def _tell(self, addresses: list[str]) -> None:
        load = self.read_load()
        placed = self.take_placed()
        now = self._clock.monotonic()
        is_same = load == self._told and not placed
        if is_same and now - self._told_at < REPEAT_SECONDS:
            return
        self._told, self._told_at = load, now
        notice = LoadNotice(load_by_id=load, placed=placed)
        for address in addresses:
            self._peers.send(address, notice)

    async def _take_notice(
        self, sender: Sender, message: LoadNotice
    ) -> Message | None:
        self._loads_by_vm_id[sender.vm_id] = {
            endpoint_id: Load.of(ranks)
            for endpoint_id, ranks in message.load_by_id.items()
        }
        self._heard_at_by_vm_id[sender.vm_id] = self._clock.monotonic()
        self._totals_by_id = None
        self.hear_placed(message.placed)
        return None

    def _sum_up(self) -> dict[str, Load]:
        totals: dict[str, Load] = {}
        for loads in self._loads_by_vm_id.values():
            for endpoint_id, load in loads.items():
                totals.setdefault(endpoint_id, Load()).merge(load)
        return totals

    def _prune(self) -> None:
        since = self._clock.monotonic() - KEEP_SECONDS
        for vm_id, heard_at in list(self._heard_at_by_vm_id.items()):
            if heard_at < since:
                del self._heard_at_by_vm_id[vm_id]
                del self._loads_by_vm_id[vm_id]
                self._totals_by_id = None


def _ignore(placed: list[PlacedParts]) -> None:
    """Drop what nobody asks for."""
