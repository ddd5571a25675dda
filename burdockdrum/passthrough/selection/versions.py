"""Which software versions of endpoints may serve a request."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class AnyVersion:
    """Any version: no caller takes the response up elsewhere."""


@dataclass(frozen=True, kw_only=True)
class EstablishedVersion:
    """Any version that a quorum of control VMs knows.

    A stream that begins at another one could be mistaken for one of a version
    that is known.
    """


@dataclass(frozen=True, kw_only=True)
class OnlyVersion:
    """The version that began the stream."""

    software_version: str


VersionFilter = AnyVersion | EstablishedVersion | OnlyVersion

ANY_VERSION = AnyVersion()
ESTABLISHED_VERSION = EstablishedVersion()
