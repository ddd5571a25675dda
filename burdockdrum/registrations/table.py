"""The registrations of endpoints that one control VM has received.

Orders check-ins that arrive late or out of order, and detects endpoints that
stop checking in.
"""

from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import replace

import msgspec

from burdockdrum.logs import log_failure
from burdockdrum.ports import Clock
from burdockdrum.registrations.incarnations import LatestIncarnations
from burdockdrum.registrations.incarnations import make_incarnation_id
from burdockdrum.registrations.incarnations import UNKNOWN_INCARNATION
from burdockdrum.registrations.messages import LimitNotice
from burdockdrum.registrations.messages import Registration
from burdockdrum.registrations.messages import RegistrationState
from burdockdrum.software_versions import VersionMemory

# Endpoints check in every 1.2 s, and a check-in may be seconds late.
CHECK_IN_TIMEOUT_SECONDS = 4.5
# Check-ins that were held up by a partition arrive together.
MIN_CHECK_IN_INTERVAL_SECONDS = 0.5
# An unreachable endpoint is kept for so long: partitions often heal within
# seconds, and it may be checking in at another control VM.
EXPIRY_SECONDS = 30.0
# Outlasts late check-ins of an ended incarnation, which must not revive it.
TOMBSTONE_SECONDS = 120.0
# A change of an endpoint's rate limit is published to every entry, and an
# endpoint may change it with each response.
MIN_LIMIT_SECONDS = 0.25
# Check-ins take longer or shorter to arrive, so that the end of a slow start
# or a planned removal seems to move by less.
TIME_TOLERANCE_SECONDS = 0.05
# The data centre of an endpoint of which only the end is known.
ANY_DATA_CENTRE = ""


@dataclass(frozen=True, kw_only=True)
class _Record:
    """A registration, and when it was received and changed.

    ``late_sequence`` is the highest of the check-ins with lower sequences
    that have arrived since, one after the other, ``late_at`` when it did, and
    ``late_count`` how many they are.
    """

    registration: Registration
    serial: int
    received_at: float
    changed_at: float
    limit_observed_at: float | None = None
    limit_changed_at: float = float("-inf")
    late_sequence: int = -1
    late_at: float = float("-inf")
    late_count: int = 0

    @property
    def heard_at(self) -> float:
        """Return when the endpoint was heard of, by any of its writers."""
        if self.late_count < 2:
            return self.received_at
        return max(self.received_at, self.late_at)


class RegistrationTable:
    """The registrations by endpoint id; each change gets a new serial."""

    def __init__(
        self, *, clock: Clock, are_versions_shared: bool = False
    ) -> None:
        """Create an empty table.

        :param are_versions_shared: whether other control VMs are told of the
            software versions
        """
        self.serial = 0
        self.listeners: list[Callable[[Registration], None]] = []
        self.versions = VersionMemory(
            clock=clock, is_shared=are_versions_shared
        )
        self._clock = clock
        self._records_by_id: dict[str, _Record] = {}
        self._newest_id_by_address: dict[str, str] = {}
        self._incarnations = LatestIncarnations()

    def apply(self, registration: Registration) -> bool:
        """Apply a check-in.

        :returns: False if it is outdated and was ignored
        """
        name, incarnation = registration.reported_id, registration.incarnation
        if self._incarnations.is_outdated(name, incarnation):
            return False
        known = self._records_by_id.get(registration.endpoint_id)
        if known is not None and not self._is_accepted(registration, known):
            return False
        if known is None and self._is_superseded(registration):
            return False
        if self._incarnations.observe(name, incarnation):
            for previous in self._incarnations_of(name):
                self._set_state(previous, RegistrationState.GONE)
        now = self._clock.monotonic()
        registration = _keep_drain(_keep_limit(registration, known), known)
        if known is not None:
            told = _count_down(known, now)
            if _is_unchanged(registration, told):
                self._records_by_id[registration.endpoint_id] = replace(
                    known,
                    # The times stay those that entries count down.
                    registration=msgspec.structs.replace(
                        told, sequence=registration.sequence
                    ),
                    received_at=now,
                    late_sequence=-1,
                    late_count=0,
                )
                return True
        self._newest_id_by_address[registration.address] = (
            registration.endpoint_id
        )
        self._put(registration)
        return True

    def end(self, name: str, incarnation: int = UNKNOWN_INCARNATION) -> bool:
        """Mark an endpoint as ended.

        It may have checked in at another control VM, so the end of an unknown
        endpoint is recorded as well and published in every region.

        :param name: the id that the endpoint reports
        :param incarnation: the incarnation that ends; if unknown, all of them
        :returns: whether it was known
        """
        ending = [
            record
            for record in self._incarnations_of(name)
            if incarnation
            in (UNKNOWN_INCARNATION, record.registration.incarnation)
        ]
        for record in ending:
            self._set_state(record, RegistrationState.GONE)
        if ending:
            return True
        self._put(
            Registration(
                endpoint_id=make_incarnation_id(name, incarnation),
                service="",
                address="",
                data_centre=ANY_DATA_CENTRE,
                slots=0,
                sequence=0,
                state=RegistrationState.GONE,
                name=name,
                incarnation=incarnation,
            )
        )
        return False

    def record_limit(self, notice: LimitNotice) -> bool:
        """Record the bounds that an endpoint announced to an entry.

        :returns: whether it differs from the one known before
        """
        known = self._records_by_id.get(notice.endpoint_id)
        if known is None or self.has_ended(notice.endpoint_id):
            return False
        now = self._clock.monotonic()
        observed_at = now - notice.age
        previous_at = known.limit_observed_at
        if previous_at is not None and observed_at <= previous_at:
            return False
        rate, rejections = notice.requests_per_second, notice.max_rejections
        is_changed = (rate, rejections) != (
            known.registration.rate_limit,
            known.registration.max_rejections,
        )
        if is_changed and now < known.limit_changed_at + MIN_LIMIT_SECONDS:
            # The entry reports it again while it differs.
            return False
        self._records_by_id[notice.endpoint_id] = replace(
            known,
            limit_observed_at=observed_at,
            limit_changed_at=now if is_changed else known.limit_changed_at,
        )
        if not is_changed:
            return False
        changed = msgspec.structs.replace(
            known.registration, rate_limit=rate, max_rejections=rejections
        )
        self._put(changed, received_at=known.received_at)
        return True

    def record_drain(self, endpoint_id: str) -> bool:
        """Record that an endpoint announced to drain to an entry.

        :returns: whether it was not known before
        """
        known = self._records_by_id.get(endpoint_id)
        if known is None or self.has_ended(endpoint_id):
            return False
        if known.registration.is_drain_announced:
            return False
        changed = msgspec.structs.replace(
            known.registration,
            state=RegistrationState.DRAINING,
            is_drain_announced=True,
        )
        self._put(changed, received_at=known.received_at)
        return True

    def has_ended(self, endpoint_id: str) -> bool:
        """Return whether an endpoint has ended."""
        known = self._records_by_id.get(endpoint_id)
        if known is None:
            return False
        return known.registration.state is RegistrationState.GONE

    def changes_after(
        self, serial: int, data_centres: frozenset[str]
    ) -> list[Registration]:
        """Return the registrations changed after a serial."""
        now = self._clock.monotonic()
        return [
            _count_down(record, now)
            for record in self._records_by_id.values()
            if record.serial > serial
            and record.registration.data_centre
            in {ANY_DATA_CENTRE, *data_centres}
        ]

    def ready(self) -> Iterable[Registration]:
        """Return the registrations of endpoints that accept requests."""
        for record in self._records_by_id.values():
            if record.registration.state is RegistrationState.READY:
                yield record.registration

    def ready_or_draining(self) -> list[Registration]:
        """Return the registrations of ready and of draining endpoints."""
        now = self._clock.monotonic()
        kept = (RegistrationState.READY, RegistrationState.DRAINING)
        return [
            _count_down(record, now)
            for record in self._records_by_id.values()
            if record.registration.state in kept
        ]

    def restore(self, registrations: Iterable[Registration]) -> int:
        """Apply the registrations stored before this VM restarted.

        Check-ins received since the restart take precedence.

        :returns: how many were added
        """
        return sum(
            self.apply(registration)
            for registration in registrations
            if registration.endpoint_id not in self._records_by_id
        )

    def prune(self) -> None:
        """Mark endpoints that stopped checking in; remove expired ones."""
        now = self._clock.monotonic()
        for record in list(self._records_by_id.values()):
            idle_seconds = now - record.heard_at
            age = now - record.changed_at
            match record.registration.state:
                case RegistrationState.READY:
                    if idle_seconds > CHECK_IN_TIMEOUT_SECONDS:
                        self._set_state(record, RegistrationState.UNREACHABLE)
                case RegistrationState.DRAINING:
                    # Becoming unreachable must not undo the drain notice.
                    if idle_seconds > EXPIRY_SECONDS:
                        self._set_state(record, RegistrationState.GONE)
                case RegistrationState.UNREACHABLE:
                    if idle_seconds > EXPIRY_SECONDS:
                        self._set_state(record, RegistrationState.EXPIRED)
                case _:
                    if age > TOMBSTONE_SECONDS:
                        self._remove(record)
        self.versions.prune(self._list_current_versions())

    def _list_current_versions(self) -> set[tuple[str, str]]:
        ended = (RegistrationState.GONE, RegistrationState.EXPIRED)
        return {
            (
                record.registration.service,
                record.registration.software_version,
            )
            for record in self._records_by_id.values()
            if record.registration.state not in ended
        }

    def _incarnations_of(self, name: str) -> list[_Record]:
        return [
            record
            for record in self._records_by_id.values()
            if record.registration.reported_id == name
        ]

    def _is_accepted(self, registration: Registration, known: _Record) -> bool:
        """Return whether a check-in replaces the one known before.

        An incarnation keeps its service, address and data centre, so that a
        check-in with others is from another writer. It is ignored while the
        endpoint is heard of. So are lower sequences, unless they go on to
        arrive when nothing else does: then they are the endpoint's own.
        """
        current = known.registration
        if current.state is RegistrationState.GONE:
            return False
        silent_seconds = self._clock.monotonic() - known.received_at
        is_silent = silent_seconds > CHECK_IN_TIMEOUT_SECONDS
        if not _is_same_place(registration, current):
            is_accepted = (
                is_silent and current.state is not RegistrationState.DRAINING
            )
            if not is_accepted:
                _log_conflict(registration, current)
            return is_accepted
        if registration.sequence >= current.sequence:
            return True
        is_next = self._record_late(registration, known)
        return is_next and is_silent

    def _record_late(self, registration: Registration, known: _Record) -> bool:
        """Record a check-in with a lower sequence.

        :returns: whether it follows another one in time and in sequence
        """
        now = self._clock.monotonic()
        if (
            registration.sequence <= known.late_sequence
            or now < known.late_at + MIN_CHECK_IN_INTERVAL_SECONDS
        ):
            return False
        self._records_by_id[registration.endpoint_id] = replace(
            known,
            late_sequence=registration.sequence,
            late_at=now,
            late_count=known.late_count + 1,
        )
        return known.late_count > 0

    def _is_superseded(self, registration: Registration) -> bool:
        """Return whether a check-in of an unknown id is outdated.

        A check-in delayed by a partition may arrive after its sender crashed
        and a new incarnation uses the address. Sequences start low, so one
        above that of the address's current endpoint is from before.
        """
        newest = self._newest_id_by_address.get(registration.address)
        if newest is None or newest == registration.endpoint_id:
            return False
        other = self._records_by_id.get(newest)
        if other is None:
            return False
        if other.registration.reported_id == registration.reported_id:
            # The start times that the endpoint reports decide instead.
            return False
        is_live = other.registration.state is RegistrationState.READY
        idle_seconds = self._clock.monotonic() - other.received_at
        return (
            is_live
            and idle_seconds < CHECK_IN_TIMEOUT_SECONDS
            and (registration.sequence > other.registration.sequence)
        )

    def _set_state(self, record: _Record, state: RegistrationState) -> None:
        if record.registration.state is state:
            return
        changed = msgspec.structs.replace(record.registration, state=state)
        self._put(changed, received_at=record.received_at)

    def _put(
        self, registration: Registration, received_at: float | None = None
    ) -> None:
        """Record a registration with a new serial, and tell the listeners.

        :param received_at: from when its remaining times count; now if None
        """
        self.serial += 1
        now = self._clock.monotonic()
        known = self._records_by_id.get(registration.endpoint_id)
        if registration.state is not RegistrationState.GONE:
            self.versions.observe(
                registration.service, registration.software_version
            )
        record = self._records_by_id[registration.endpoint_id] = _Record(
            registration=registration,
            serial=self.serial,
            received_at=now if received_at is None else received_at,
            changed_at=now,
            limit_observed_at=_limit_observed_at(registration, known, now),
            limit_changed_at=_limit_changed_at(known),
        )
        for listener in self.listeners:
            listener(_count_down(record, now))

    def _remove(self, record: _Record) -> None:
        registration = record.registration
        del self._records_by_id[registration.endpoint_id]
        records = self._records_by_id.values()
        self._incarnations.retain(
            {r.registration.reported_id for r in records}
        )
        newest = self._newest_id_by_address.get(registration.address)
        if newest == registration.endpoint_id:
            del self._newest_id_by_address[registration.address]


def _keep_limit(
    registration: Registration, known: _Record | None
) -> Registration:
    """Return a check-in with the announced bounds known before.

    An endpoint announces it in its responses, not when it checks in.
    """
    if known is None or known.limit_observed_at is None:
        return registration
    return msgspec.structs.replace(
        registration,
        rate_limit=known.registration.rate_limit,
        rate_limit_age=known.registration.rate_limit_age,
        max_rejections=known.registration.max_rejections,
    )


def _keep_drain(
    registration: Registration, known: _Record | None
) -> Registration:
    """Return a check-in that doesn't end an announced drain."""
    if known is None or not known.registration.is_drain_announced:
        return registration
    return msgspec.structs.replace(
        registration,
        state=RegistrationState.DRAINING,
        is_drain_announced=True,
    )


def _limit_observed_at(
    registration: Registration, known: _Record | None, now: float
) -> float | None:
    """Return when the limit of a registration was observed."""
    if known is not None and known.limit_observed_at is not None:
        return known.limit_observed_at
    age = registration.rate_limit_age
    return None if age is None else now - age


def _limit_changed_at(known: _Record | None) -> float:
    return known.limit_changed_at if known is not None else float("-inf")


def _is_same_place(first: Registration, second: Registration) -> bool:
    """Return whether two check-ins name the same service and address."""
    return (first.service, first.address, first.data_centre) == (
        second.service,
        second.address,
        second.data_centre,
    )


def _log_conflict(registration: Registration, current: Registration) -> None:
    log_failure(
        "check_in.conflicting",
        endpoint_id=registration.endpoint_id,
        service=registration.service,
        place=registration.address,
        data_centre=registration.data_centre,
        sequence=registration.sequence,
        known_service=current.service,
        known_place=current.address,
        known_data_centre=current.data_centre,
        known_sequence=current.sequence,
    )


def _is_unchanged(registration: Registration, told: Registration) -> bool:
    """Return whether nothing changed that entries need to know.

    The sequence and the remaining times change with each check-in. Entries
    count the times down themselves.

    :param told: what entries believe now
    """
    same = msgspec.structs.replace(
        registration,
        sequence=told.sequence,
        slow_start_seconds=told.slow_start_seconds,
        seconds_left=told.seconds_left,
        rate_limit_age=told.rate_limit_age,
    )
    extension = registration.slow_start_seconds - told.slow_start_seconds
    # Another control VM may have told entries something else in between.
    has_gap = registration.sequence > told.sequence + 1
    return (
        same == told
        and extension <= TIME_TOLERANCE_SECONDS
        and not (has_gap and registration.slow_start_seconds)
        and not _is_end_moved(registration.seconds_left, told.seconds_left)
    )


def _is_end_moved(reported: float | None, told: float | None) -> bool:
    """Return whether a planned removal was announced, moved or withdrawn."""
    if reported is None or told is None:
        return reported is not told
    return abs(reported - told) > TIME_TOLERANCE_SECONDS


def _count_down(record: _Record, now: float) -> Registration:
    """Return a registration whose times count from now."""
    registration = record.registration
    seconds = now - record.received_at
    left = registration.seconds_left
    observed_at = record.limit_observed_at
    if (
        not registration.slow_start_seconds
        and left is None
        and observed_at is None
    ):
        return registration
    return msgspec.structs.replace(
        registration,
        slow_start_seconds=max(0.0, registration.slow_start_seconds - seconds),
        seconds_left=None if left is None else max(0.0, left - seconds),
        rate_limit_age=None if observed_at is None else now - observed_at,
    )
