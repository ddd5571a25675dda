"""An endpoint as an entry knows it."""

from dataclasses import dataclass

from burdockdrum.registrations.messages import RegistrationState


@dataclass(frozen=True, kw_only=True, slots=True)
class RegisteredEndpoint:
    """One start of an endpoint, with times on this VM's monotonic clock.

    ``ends_at`` is when it will be taken away, None if that is not known.
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

    @property
    def leaving(self) -> bool:
        """Say whether it wants no new work."""
        return self.state is RegistrationState.LEAVING

    @property
    def silent(self) -> bool:
        """Say whether no control VM has heard from it lately."""
        return self.state is RegistrationState.SILENT
