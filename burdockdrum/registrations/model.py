"""The registration of an endpoint as an entry keeps it."""

from dataclasses import dataclass

from burdockdrum.registrations.incarnations import UNKNOWN_INCARNATION
from burdockdrum.registrations.messages import RegistrationState
from burdockdrum.registrations.rate_limits import AnnouncedLimit


@dataclass(frozen=True, kw_only=True, slots=True)
class RegisteredEndpoint:
    """One incarnation of an endpoint.

    Times are on this VM's monotonic clock: ``slow_start_until`` is the end of
    the slow start and ``ends_at`` the planned removal, None if there is none.
    ``name`` is the id that the endpoint reports, over all incarnations;
    ``incarnation`` is its start time by its own clock, 0 if unknown.
    ``rate_limit`` is what it announced to any entry, None if nothing;
    ``is_drain_announced`` says that it announced to drain to any entry.
    ``software_version`` is that of the program, not of a model's weights.
    """

    endpoint_id: str
    service: str
    address: str
    data_centre: str
    slots: int
    sequence: int
    state: RegistrationState
    slow_start_until: float
    ends_at: float | None
    name: str = ""
    incarnation: int = UNKNOWN_INCARNATION
    rate_limit: AnnouncedLimit | None = None
    is_drain_announced: bool = False
    software_version: str = ""

    @property
    def reported_id(self) -> str:
        """Return the id that the endpoint reports, over all incarnations."""
        return self.name or self.endpoint_id

    @property
    def place(self) -> tuple[str, str, str]:
        """Return what an incarnation keeps: service, address, data centre."""
        return (self.service, self.address, self.data_centre)

    @property
    def is_draining(self) -> bool:
        """Return whether it is draining and accepts no new requests."""
        return self.state is RegistrationState.DRAINING

    @property
    def is_unreachable(self) -> bool:
        """Return whether its check-ins have stopped at all control VMs."""
        return self.state is RegistrationState.UNREACHABLE
