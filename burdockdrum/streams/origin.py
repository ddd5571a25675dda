"""What a stream must go on with: the software that wrote its first event."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class StreamOrigin:
    """The service and the software version that began a stream.

    What two versions write doesn't fit together, so that a stream may only go
    on at endpoints of this version.
    """

    service: str
    software_version: str
