"""Entries tell each other what teams have used of their limits.

Each entry tells one entry of its data centre, the keeper, and hears from it
what began everywhere else. Keepers of data centres tell each other. No
request waits for a message.
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
from burdockdrum.quotas.messages import DataCentreUse
from burdockdrum.quotas.messages import OthersUse
from burdockdrum.quotas.messages import TeamUse
from burdockdrum.quotas.messages import UseNotice
from burdockdrum.quotas.silence import Silence
from burdockdrum.quotas.silence import SILENT_SECONDS
from burdockdrum.quotas.sums import merge
from burdockdrum.quotas.sums import NO_USE
from burdockdrum.quotas.sums import Use
from burdockdrum.quotas.sums import UseSums
from burdockdrum.vms import FarKeepers
from burdockdrum.vms import KeeperChoice

TELL_SECONDS = 0.2
# A keeper hears and answers 40 notices a second, whatever the number of
# entries.
SECONDS_AN_ENTRY = 0.025
# Keepers tell each other so often, and more rarely while every team is far
# from its limit.
DATA_CENTRE_SECONDS = 0.2
CALM_SECONDS = 0.4
# What an entry that is gone has told has faded by now.
FORGET_SECONDS = 10.0
# Sums are added up anew after this, not for each request.
ADD_UP_SECONDS = 0.05
_KEEPER = "keeper"


class UseSharing:
    """What all entries but this one have used of each limit."""

    def __init__(
        self,
        *,
        peers: Peers,
        clock: Clock,
        read_entries: Callable[[], Iterable[VmIdentity]],
        read_draining: Callable[[], bool] = bool,
        data_centres: Iterable[str] = (),
    ) -> None:
        """Know of no use.

        :param read_entries: returns the other entries, of all regions
        :param read_draining: returns whether others leave this VM out
        :param data_centres: where there may be entries
        """
        # Set by what counts the use here.
        self.read_own: Callable[[], Mapping[str, Use]] = dict
        # What was used of a burst, as this VM or its keeper adds it up.
        self.read_drawn: Callable[[str], float] = _nothing
        self.take_drawn: Callable[[str, float], None] = _ignore
        # Whether some team is near its limit.
        self.read_near: Callable[[], bool] = bool
        self._own = peers.identity
        self._peers = peers
        self._clock = clock
        self._read_entries = read_entries
        self._read_draining = read_draining
        self._keepers = KeeperChoice(own=self._own)
        self._keeper: VmIdentity = self._own
        self._neighbours = 0
        self._told_at = float("-inf")
        # Of a keeper, what each entry here has told; else the keeper's word.
        self._here = UseSums()
        # By the address of the entry that adds up there.
        self._elsewhere = UseSums()
        self._far_keepers = FarKeepers(
            own=self._own, keep_seconds=SILENT_SECONDS
        )
        own = self._own.data_centre
        now = clock.monotonic()
        self._far_silence = Silence(
            names=[name for name in data_centres if name != own], now=now
        )
        self._keeper_silence = Silence(names=[], now=now)
        self._unheard_by_team: dict[str, float] = {}
        self._others: dict[str, Use] = {}
        self._others_at = float("-inf")
        self._everywhere: list[TeamUse] = []
        self._everywhere_at = float("-inf")
        peers.register(UseNotice, self._take_notice)
        peers.register(OthersUse, self._take_others)
        peers.register(DataCentreUse, self._take_data_centre)

    @property
    def is_keeper(self) -> bool:
        """Say whether this entry adds up for its data centre."""
        return self._keeper == self._own

    @property
    def age(self) -> float | None:
        """Return how many seconds ago others were heard, None if never."""
        now = self._clock.monotonic()
        sums = self._elsewhere if self.is_keeper else self._here
        return max(sums.ages(now), default=None)

    def others(self, team: str) -> Use:
        """Return what began at all other entries that are heard."""
        return self._add_up_others().get(team, NO_USE)

    def unheard(self, team: str) -> float:
        """Return the part of a team's limit that others may use unheard."""
        now = self._clock.monotonic()
        if self.is_keeper:
            return self._far_silence.part(team, now)
        told = self._unheard_by_team.get(team, 0.0)
        silent = self._keeper_silence.part(team, now)
        return told + (1 - told) * silent

    async def run(self) -> None:
        """Tell the others until cancelled."""
        while True:
            await self._clock.sleep(self._tick())

    def _tick(self) -> float:
        """Tell who is to be told; return the seconds until the next time."""
        own = self.read_own()
        if not own:
            # No team has a limit.
            return TELL_SECONDS
        now = self._clock.monotonic()
        others = list(self._read_entries())
        neighbours = [e for e in others if self._is_neighbour(e)]
        self._neighbours = len(neighbours)
        self._here.forget_before(now - FORGET_SECONDS)
        self._elsewhere.forget_before(now - FORGET_SECONDS)
        may_keep = not self._read_draining()
        self._set_keeper(
            self._keepers.choose(neighbours, now, may_keep=may_keep), now
        )
        if self.is_keeper:
            if self._is_due(now):
                self._tell_data_centres(others, now)
                self._told_at = now
            return DATA_CENTRE_SECONDS
        notice = UseNotice(uses=_to_wire(own))
        self._peers.send(self._keeper.control_address, notice)
        self._keepers.note_asked(self._keeper.vm_id, now)
        return max(TELL_SECONDS, SECONDS_AN_ENTRY * (len(neighbours) + 1))

    def _is_due(self, now: float) -> bool:
        rest = now + DATA_CENTRE_SECONDS - self._told_at
        return self.read_near() or rest > CALM_SECONDS

    def _set_keeper(self, keeper: VmIdentity, now: float) -> None:
        if keeper == self._keeper:
            return
        self._keeper = keeper
        self._here = UseSums()
        self._keeper_silence.expect(
            _KEEPER, now, equal_part=self._neighbours_part
        )
        log_decision("use.keeper_chosen", about_vm=keeper.vm_id)

    @property
    def _neighbours_part(self) -> float:
        """Return the other entries' part of what this data centre serves."""
        return self._neighbours / (self._neighbours + 1)

    def _is_neighbour(self, entry: VmIdentity) -> bool:
        return entry.data_centre == self._own.data_centre

    def _tell_data_centres(self, others: list[VmIdentity], now: float) -> None:
        message = DataCentreUse(
            data_centre=self._own.data_centre,
            keeper=self._own.control_address,
            uses=_to_wire(self._sum_here(now)),
        )
        for address in self._far_keepers.find_all(others, now).values():
            self._peers.send(address, message)

    def _sum_here(self, now: float) -> dict[str, Use]:
        """Return what began in this data centre, by team."""
        sums = self._here.add_up(now)
        merge(sums, self.read_own())
        return sums

    def _add_up_others(self) -> dict[str, Use]:
        now = self._clock.monotonic()
        if now - self._others_at <= ADD_UP_SECONDS:
            return self._others
        # Who is silent has a part of the limit instead.
        since = now - SILENT_SECONDS
        if self.is_keeper:
            self._others = self._here.add_up(now)
            merge(self._others, self._elsewhere.add_up(now, since))
        else:
            self._others = self._here.add_up(now, since)
        self._others_at = now
        return self._others

    async def _take_notice(
        self, sender: Sender, message: UseNotice
    ) -> Message | None:
        now = self._clock.monotonic()
        self._here.put(sender.vm_id, message.uses, now)
        self._peers.send(sender.address, self._answer(sender.vm_id, now))
        return None

    def _answer(self, asker: str, now: float) -> OthersUse:
        told = self._here.read(asker, now)
        return OthersUse(
            uses=[
                _without(use, told[use.team]) if use.team in told else use
                for use in self._list_everywhere(now)
            ]
        )

    def _list_everywhere(self, now: float) -> list[TeamUse]:
        """Return what is used here and elsewhere, for answers."""
        if now - self._everywhere_at <= ADD_UP_SECONDS:
            return self._everywhere
        sums = dict(self._add_up_others())
        merge(sums, self.read_own())
        self._everywhere = [
            TeamUse(
                team,
                round(use.used, 1),
                round(use.asked, 1),
                round(self.read_drawn(team), 1),
                round(self.unheard(team), 3),
            )
            for team, use in sums.items()
        ]
        self._everywhere_at = now
        return self._everywhere

    async def _take_others(
        self, sender: Sender, message: OthersUse
    ) -> Message | None:
        now = self._clock.monotonic()
        self._keepers.note_answer(sender.vm_id)
        if self.is_keeper or sender.vm_id != self._keeper.vm_id:
            return None
        self._here.put(sender.vm_id, message.uses, now)
        self._others_at = float("-inf")
        self._unheard_by_team = {use.team: use.unheard for use in message.uses}
        for use in message.uses:
            self.take_drawn(use.team, use.drawn)
        own = self.read_own()
        parts = {
            use.team: _part(use.asked, own.get(use.team, NO_USE).asked)
            for use in message.uses
        }
        self._keeper_silence.note(
            _KEEPER, parts, now, equal_part=self._neighbours_part
        )
        return None

    async def _take_data_centre(
        self, sender: Sender, message: DataCentreUse
    ) -> Message | None:
        if not self.is_keeper:
            if not message.passed_on:
                passed_on = msgspec.structs.replace(message, passed_on=True)
                self._peers.send(self._keeper.control_address, passed_on)
            return None
        now = self._clock.monotonic()
        name = message.data_centre
        self._far_keepers.note(name, message.keeper, now)
        self._elsewhere.put(message.keeper, message.uses, now)
        own, others = self.read_own(), self._add_up_others()
        parts = {}
        for use in message.uses:
            total = others.get(use.team, NO_USE).asked
            total += own.get(use.team, NO_USE).asked
            parts[use.team] = use.asked / max(1.0, total, use.asked)
        known = len(self._far_keepers) + 1
        self._far_silence.note(name, parts, now, equal_part=1 / known)
        return None


def _without(use: TeamUse, part: Use) -> TeamUse:
    """Return what is left of a use without a part of it."""
    return TeamUse(
        use.team,
        max(0.0, use.used - part.used),
        max(0.0, use.asked - part.asked),
        use.drawn,
        use.unheard,
    )


def _part(first: float, second: float) -> float:
    return first / max(1.0, first + second)


def _nothing(team: str) -> float:
    return 0.0


def _ignore(team: str, drawn: float) -> None:
    """Drop what nobody asks for."""


def _to_wire(use_by_team: Mapping[str, Use]) -> list[TeamUse]:
    """Return uses as messages hold them, without those of nothing."""
    uses = [
        TeamUse(team, round(use.used, 1), round(use.asked, 1))
        for team, use in use_by_team.items()
    ]
    return [use for use in uses if use.asked or use.used]
