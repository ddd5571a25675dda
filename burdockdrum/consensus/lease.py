"""The leader's lease, during which no other member can be elected.

After section 6.4.1 of Ongaro's thesis (2014), corrected for clock drift: a
member that replied to a request grants no vote for an election timeout after
it received the request, and so at least that long after the request was sent.
"""

from collections.abc import Callable
import math

from burdockdrum.consensus.membership import Member
from burdockdrum.consensus.replica import Replica
from burdockdrum.timeline import SuspensionDetector

# A larger jump of the wall clock invalidates the lease. Less than the margin
# that the lease leaves for drift.
_MAX_WALL_CLOCK_JUMP_SECONDS = 0.01


class Lease:
    """Derives the lease from the latest replies of a quorum."""

    def __init__(
        self, *, replica: Replica, read_contact_at: Callable[[Member], float]
    ) -> None:
        """Create an invalid lease.

        :param read_contact_at: returns when the last request that a member
            replied to was sent, by this VM's monotonic clock
        """
        self._replica = replica
        self._read_contact_at = read_contact_at
        self._trusted_from = -math.inf
        self._suspension = SuspensionDetector(
            clock=replica.clock, max_jump_seconds=_MAX_WALL_CLOCK_JUMP_SECONDS
        )

    def begin(self) -> None:
        """Count only replies to requests sent from now on."""
        self._trusted_from = self._replica.clock.monotonic()
        self._suspension.reset()

    @property
    def is_valid(self) -> bool:
        """Return whether the lease has not expired."""
        self.detect_suspension()
        settings = self._replica.settings
        ends_at = self.quorum_contact_at + settings.lease_seconds
        return self._replica.clock.monotonic() < ends_at

    @property
    def quorum_contact_at(self) -> float:
        """Return when the last request that a quorum replied to was sent.

        Minus infinity if there is none that counts.
        """
        replica = self._replica
        now = replica.clock.monotonic()
        configuration = replica.configuration
        contact_times = [
            now
            if (member.vm_id, member.disk_id)
            == (replica.vm_id, replica.disk_id)
            else self._read_contact_at(member)
            for member in configuration.voters
        ]
        contact_times.sort(reverse=True)
        contact_at = (
            contact_times[configuration.quorum - 1]
            if contact_times
            else -math.inf
        )
        return contact_at if contact_at >= self._trusted_from else -math.inf

    @property
    def seconds_without_quorum(self) -> float:
        """Return the seconds since a quorum last replied."""
        contact_at = max(self.quorum_contact_at, self._trusted_from)
        return self._replica.clock.monotonic() - contact_at

    def detect_suspension(self) -> None:
        """Discard earlier replies if this VM was suspended.

        A wall clock that was only set forward costs the lease for one round
        trip.
        """
        if self._suspension.detect():
            self._trusted_from = self._replica.clock.monotonic()
