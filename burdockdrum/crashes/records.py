"""The record of a crash, as VMs send it to each other."""

import msgspec

RecordKey = tuple[str, str]
# Fingerprints of parts of prompts begin so, those of requests don't.
PART_PREFIX = "part-"


def is_part(fingerprint: str) -> bool:
    """Return whether a fingerprint is that of a part of a prompt."""
    return fingerprint.startswith(PART_PREFIX)


class CrashRecord(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """An endpoint crashed while it ran a request.

    ``fingerprint`` identifies the request, or a part of its prompt, and
    ``endpoint_id`` one incarnation of the endpoint. ``age`` is in seconds, and
    counts from when the message was sent. ``observer`` is the VM that saw it.
    A record that ``is_cleared`` no longer counts: the suspect has run since,
    the endpoint turned out to be alive, or an operator lifted it.
    """

    fingerprint: str
    endpoint_id: str
    age: float
    observer: str
    is_cleared: bool = False

    @property
    def key(self) -> RecordKey:
        """Return what identifies the record."""
        return (self.fingerprint, self.endpoint_id)
