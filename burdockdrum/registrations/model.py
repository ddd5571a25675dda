"""The registration of an endpoint as an entry keeps it."""

from dataclasses import dataclass

from burdockdrum.registrations.messages import RegistrationState
from burdockdrum.registrations.starts import UNKNOWN_START


@dataclass(frozen=True, kw_only=True, slots=True)
class RegisteredEndpoint:
    """One incarnation of an endpoint.

    Times are on this VM's monotonic clock: ``cold_until`` is the end of the
    slow start and ``ends_at`` the planned removal, None if there is none.
    ``name`` is the id that the endpoint reports, over all incarnations;
    ``born`` is its start time by its own clock, 0 if unknown.
    """

    endpoint_id: str
    service: str
    address: str
    data_centre: str
    slots: int
    sequence: int
    state: RegistrationState
    cold_until: float
    ends_at: float | None
    name: str = ""
    born: int = UNKNOWN_START

    @property
    def known_as(self) -> str:
        """Return the id that the endpoint reports, over all incarnations."""
        return self.name or self.endpoint_id

    @property
    def leaving(self) -> bool:
        """Return whether it is draining and accepts no new requests."""
        return self.state is RegistrationState.LEAVING

    @property
    def silent(self) -> bool:
        """Return whether its check-ins have stopped at all control VMs."""
        return self.state is RegistrationState.SILENT
