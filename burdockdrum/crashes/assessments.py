"""How a request is treated because of the crashes under it."""

from dataclasses import dataclass
import enum

from burdockdrum.crashes.records import CrashRecord
from burdockdrum.crashes.records import is_part


class Standing(enum.Enum):
    """How a request is treated."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    CONTESTED = "contested"
    QUARANTINED = "quarantined"

    @property
    def severity(self) -> int:
        """Return the rank among all, 0 for the mildest."""
        return list(Standing).index(self)


@dataclass(frozen=True, kw_only=True)
class Assessment:
    """How a request is treated, and the crashes that count against it.

    ``seconds_left`` is the time until this ends without further crashes,
    ``since_latest`` the time in seconds since the latest crash.
    """

    standing: Standing
    fingerprint: str = ""
    crashes: tuple[CrashRecord, ...] = ()
    seconds_left: float = 0.0
    since_latest: float = float("inf")

    def describe(self) -> str:
        """Return the crashes and who saw them, in words."""
        seen = ", ".join(
            f"{crash.endpoint_id} (seen by {crash.observer})"
            for crash in self.crashes
        )
        subject = "prompt part" if is_part(self.fingerprint) else "request"
        return (
            f"{subject} {self.fingerprint}: "
            f"{len(self.crashes)} endpoints crashed while running it: {seen}; "
            f"rejected for {self.seconds_left:.0f} s more"
        )


CLEAR = Assessment(standing=Standing.CLEAR)
