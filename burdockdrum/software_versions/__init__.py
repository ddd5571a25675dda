"""The software versions of services, also of endpoints that are gone.

A stream that began at a version may be taken up after the last endpoint of
that version has ended, and must not be mistaken for one of another version.
"""

from burdockdrum.software_versions.confirmation import VersionConfirmation
from burdockdrum.software_versions.exchange import VersionExchange
from burdockdrum.software_versions.known import KnownVersions
from burdockdrum.software_versions.memory import VersionMemory
from burdockdrum.software_versions.model import MEMORY_SECONDS
from burdockdrum.software_versions.model import ServiceVersion
from burdockdrum.software_versions.model import VersionReport

__all__ = [
    "KnownVersions",
    "MEMORY_SECONDS",
    "ServiceVersion",
    "VersionConfirmation",
    "VersionExchange",
    "VersionMemory",
    "VersionReport",
]
