"""What one control VM has heard from endpoints."""

from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import replace

import msgspec

from burdockdrum.ports import Clock
from burdockdrum.registrations.messages import Registration
from burdockdrum.registrations.messages import RegistrationState
from burdockdrum.registrations.starts import name_start
from burdockdrum.registrations.starts import NewestStarts
from burdockdrum.registrations.starts import UNKNOWN_START

# Endpoints check in every 1.2 s, and a check-in may come seconds late.
SILENT_SECONDS = 4.5
# How long a silent one may come back before it is forgotten: a cut lasts
# for some seconds, and another control VM may hear it meanwhile.
FORGET_SECONDS = 30.0
# Late check-ins of an ended start arrive within seconds of its end.
KEEP_GONE_SECONDS = 120.0
# The data centre of an endpoint of which only its end is known.
ANYWHERE = ""


@dataclass(frozen=True, kw_only=True)
class _Entry:
    registration: Registration
    serial: int
    heard_at: float
    changed_at: float


class RegistrationBook:
    """The registrations by endpoint id, each change with a serial."""

    def __init__(self, *, clock: Clock) -> None:
        """Create an empty book."""
        self.serial = 0
        self.listeners: list[Callable[[Registration], None]] = []
        self._clock = clock
        self._entries_by_id: dict[str, _Entry] = {}
        self._newest_id_by_address: dict[str, str] = {}
        self._starts = NewestStarts()

    def take(self, registration: Registration) -> bool:
        """Take in a check-in.

        :returns: whether it is the newest of its endpoint
        """
        name, born = registration.known_as, registration.born
        if self._starts.is_former(name, born):
            return False
        known = self._entries_by_id.get(registration.endpoint_id)
        if known is not None and not _is_newer(registration, known):
            return False
        if known is None and self._is_replaced(registration):
            return False
        if self._starts.take(name, born):
            for former in self._starts_of(name):
                self._set_state(former, RegistrationState.GONE)
        now = self._clock.monotonic()
        if known is not None and _says_the_same(registration, known):
            self._entries_by_id[registration.endpoint_id] = replace(
                known, registration=registration, heard_at=now
            )
            return True
        self._newest_id_by_address[registration.address] = (
            registration.endpoint_id
        )
        self._put(registration)
        return True

    def end(self, name: str, born: int = UNKNOWN_START) -> bool:
        """Take in that an endpoint has ended, or ends without a notice.

        It may have checked in at another control VM. So the end of an unknown
        one is kept as well, and told in every region.

        :param name: the id that the endpoint goes by
        :param born: the start that ends; unknown, whichever there is
        :returns: whether it was known
        """
        ending = [
            entry
            for entry in self._starts_of(name)
            if born in (UNKNOWN_START, entry.registration.born)
        ]
        for entry in ending:
            self._set_state(entry, RegistrationState.GONE)
        if ending:
            return True
        self._put(
            Registration(
                endpoint_id=name_start(name, born),
                service="",
                address="",
                data_centre=ANYWHERE,
                slots=0,
                sequence=0,
                state=RegistrationState.GONE,
                name=name,
                born=born,
            )
        )
        return False

    def is_gone(self, endpoint_id: str) -> bool:
        """Say whether an endpoint has said that it ends."""
        known = self._entries_by_id.get(endpoint_id)
        if known is None:
            return False
        return known.registration.state is RegistrationState.GONE

    def changes_after(
        self, serial: int, data_centres: frozenset[str]
    ) -> list[Registration]:
        """Return what has changed since, for some data centres."""
        now = self._clock.monotonic()
        return [
            _age(entry.registration, now - entry.heard_at)
            for entry in self._entries_by_id.values()
            if entry.serial > serial
            and entry.registration.data_centre in {ANYWHERE, *data_centres}
        ]

    def live(self) -> Iterable[Registration]:
        """Return the registrations of endpoints that take work."""
        for entry in self._entries_by_id.values():
            if entry.registration.state is RegistrationState.READY:
                yield entry.registration

    def present(self) -> list[Registration]:
        """Return the registrations of endpoints that take work or leave."""
        now = self._clock.monotonic()
        kept = (RegistrationState.READY, RegistrationState.LEAVING)
        return [
            _age(entry.registration, now - entry.heard_at)
            for entry in self._entries_by_id.values()
            if entry.registration.state in kept
        ]

    def restore(self, registrations: Iterable[Registration]) -> int:
        """Take in what was known before this VM started.

        What has been heard since the start goes before it.

        :returns: how many were not known yet
        """
        return sum(
            self.take(registration)
            for registration in registrations
            if registration.endpoint_id not in self._entries_by_id
        )

    def prune(self) -> None:
        """Mark endpoints that fell silent, and forget old ones."""
        now = self._clock.monotonic()
        for entry in list(self._entries_by_id.values()):
            silence = now - entry.heard_at
            age = now - entry.changed_at
            match entry.registration.state:
                case RegistrationState.READY:
                    if silence > SILENT_SECONDS:
                        self._set_state(entry, RegistrationState.SILENT)
                case RegistrationState.LEAVING:
                    # Its notice outlasts its silence.
                    if silence > FORGET_SECONDS:
                        self._set_state(entry, RegistrationState.GONE)
                case RegistrationState.SILENT:
                    if silence > FORGET_SECONDS:
                        self._set_state(entry, RegistrationState.FORGOTTEN)
                case _:
                    if age > KEEP_GONE_SECONDS:
                        self._remove(entry)

    def _starts_of(self, name: str) -> list[_Entry]:
        return [
            entry
            for entry in self._entries_by_id.values()
            if entry.registration.known_as == name
        ]

    def _is_replaced(self, registration: Registration) -> bool:
        """Say whether an unknown id comes late.

        A check-in that a cut has held back may arrive after its sender has
        crashed and another start has the address; the first of a start has
        a low number, so a high one beside a newer id is such a late one.
        """
        newest = self._newest_id_by_address.get(registration.address)
        if newest is None or newest == registration.endpoint_id:
            return False
        other = self._entries_by_id.get(newest)
        if other is None:
            return False
        if other.registration.known_as == registration.known_as:
            # Its own word tells which start is the newer one.
            return False
        is_live = other.registration.state is RegistrationState.READY
        silence = self._clock.monotonic() - other.heard_at
        return (
            is_live
            and silence < SILENT_SECONDS
            and (registration.sequence > other.registration.sequence)
        )

    def _set_state(self, entry: _Entry, state: RegistrationState) -> None:
        if entry.registration.state is state:
            return
        now = self._clock.monotonic()
        aged = _age(entry.registration, now - entry.heard_at)
        changed = msgspec.structs.replace(aged, state=state)
        self._put(changed, heard_at=entry.heard_at)

    def _put(
        self, registration: Registration, heard_at: float | None = None
    ) -> None:
        self.serial += 1
        now = self._clock.monotonic()
        self._entries_by_id[registration.endpoint_id] = _Entry(
            registration=registration,
            serial=self.serial,
            heard_at=now if heard_at is None else heard_at,
            changed_at=now,
        )
        for listener in self.listeners:
            listener(registration)

    def _remove(self, entry: _Entry) -> None:
        registration = entry.registration
        del self._entries_by_id[registration.endpoint_id]
        entries = self._entries_by_id.values()
        self._starts.keep_only({e.registration.known_as for e in entries})
        newest = self._newest_id_by_address.get(registration.address)
        if newest == registration.endpoint_id:
            del self._newest_id_by_address[registration.address]


def _is_newer(registration: Registration, known: _Entry) -> bool:
    held = known.registration
    if held.state is RegistrationState.GONE:
        return False
    return registration.sequence >= held.sequence


def _says_the_same(registration: Registration, known: _Entry) -> bool:
    """Say whether nothing changed that entries go by.

    The sequence and the time until an endpoint is warm change with each
    check-in; entries count the latter down themselves. One that became cold
    again has more left than it had.
    """
    held = known.registration
    same = msgspec.structs.replace(
        registration,
        sequence=held.sequence,
        cold_seconds=held.cold_seconds,
        seconds_left=held.seconds_left,
    )
    is_colder = registration.cold_seconds > held.cold_seconds
    news = (registration.seconds_left is None) != (held.seconds_left is None)
    return same == held and not is_colder and not news


def _age(registration: Registration, seconds: float) -> Registration:
    left = registration.seconds_left
    if not registration.cold_seconds and left is None:
        return registration
    return msgspec.structs.replace(
        registration,
        cold_seconds=max(0.0, registration.cold_seconds - seconds),
        seconds_left=None if left is None else max(0.0, left - seconds),
    )
