"""What an entry has received from one control VM."""

from dataclasses import dataclass
from dataclasses import field

from burdockdrum.registrations.limit_reports import read_limit
from burdockdrum.registrations.loads import Load
from burdockdrum.registrations.messages import Registration
from burdockdrum.registrations.messages import RegistrationUpdate
from burdockdrum.registrations.messages import ServiceCapacity
from burdockdrum.registrations.model import RegisteredEndpoint
from burdockdrum.registrations.rosters import NO_ROSTER_VERSION
from burdockdrum.software_versions import ServiceVersion


@dataclass(kw_only=True)
class ControlSource:
    """The state received from one control VM.

    ``epoch`` is the incarnation of the control VM, ``address_by_entry_id``
    its roster of the entries of this region.
    """

    epoch: int = 0
    serial: int = 0
    roster_version: int = NO_ROSTER_VERSION
    address_by_entry_id: dict[str, str] = field(default_factory=dict)
    received_at: float = float("-inf")
    endpoints_by_id: dict[str, RegisteredEndpoint] = field(
        default_factory=dict
    )
    capacities: list[ServiceCapacity] = field(default_factory=list)
    versions: list[ServiceVersion] = field(default_factory=list)
    version_serial: int = 0
    are_versions_complete: bool = False
    moved_to: list[str] = field(default_factory=list)
    stale_until_by_id: dict[str, float] = field(default_factory=dict)

    def begin_epoch(self, epoch: int, stale_until: float) -> None:
        """Start anew after a restart of the control VM.

        :param stale_until: until when what it reported before stays valid
        """
        self.epoch = epoch
        self.serial = 0
        self.version_serial = 0
        self.are_versions_complete = False
        self.roster_version = NO_ROSTER_VERSION
        self.stale_until_by_id = dict.fromkeys(
            self.endpoints_by_id, stale_until
        )

    def update_roster(self, message: RegistrationUpdate) -> bool:
        """Take up the roster of a message.

        :returns: whether the message has the roster that is now known
        """
        if message.roster_version < self.roster_version:
            return False
        if message.entries is not None:
            self.roster_version = message.roster_version
            self.address_by_entry_id = {
                entry.vm_id: entry.address for entry in message.entries
            }
        return message.roster_version == self.roster_version


def make_endpoint(
    registration: Registration, now: float
) -> RegisteredEndpoint:
    """Return an endpoint from a registration that was just received."""
    left = registration.seconds_left
    return RegisteredEndpoint(
        endpoint_id=registration.endpoint_id,
        service=registration.service,
        address=registration.address,
        data_centre=registration.data_centre,
        slots=registration.slots,
        sequence=registration.sequence,
        state=registration.state,
        slow_start_until=now + registration.slow_start_seconds,
        ends_at=None if left is None else now + left,
        name=registration.name,
        incarnation=registration.incarnation,
        rate_limit=read_limit(registration, now),
        is_drain_announced=registration.is_drain_announced,
        software_version=registration.software_version,
    )


def add_capacities(
    first: ServiceCapacity | None, second: ServiceCapacity
) -> ServiceCapacity:
    """Return the sum of two control VMs' reports of a service."""
    if first is None:
        return second
    load = Load.from_ranks([*first.ranks, *second.ranks])
    return ServiceCapacity(
        first.region,
        first.service,
        first.endpoints + second.endpoints,
        first.slots + second.slots,
        load.ranks(),
        sorted({*first.software_versions, *second.software_versions}),
    )
