"""Software versions of services, and the reports of control VMs about them."""

import msgspec

# How long a version is remembered after its last endpoint has ended. By then
# its callers have taken up the streams that broke off, or given up.
MEMORY_SECONDS = 60.0

VersionKey = tuple[str, str]


class ServiceVersion(msgspec.Struct, frozen=True, array_like=True):
    """A software version that endpoints of a service have, or had lately.

    ``age`` is the time in seconds since one had it. ``is_established`` says
    that a quorum of control VMs knows that endpoints of the sender have it.
    """

    service: str
    software_version: str
    age: float = 0.0
    is_established: bool = False


class VersionReport(msgspec.Struct, frozen=True, array_like=True):
    """The versions of the endpoints that check in at one control VM.

    Reports of one VM are ordered by its incarnation and the serial.
    """

    vm_id: str
    incarnation: int
    serial: int
    versions: list[ServiceVersion]

    @property
    def stamp(self) -> tuple[int, int]:
        """Return what orders the reports of one VM."""
        return self.incarnation, self.serial

    @property
    def keys(self) -> frozenset[VersionKey]:
        """Return the services and versions."""
        return frozenset(key_of(known) for known in self.versions)


def key_of(known: ServiceVersion) -> VersionKey:
    """Return the service and the version."""
    return known.service, known.software_version
