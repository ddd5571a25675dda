"""The leader's lease: until when no other member can be elected.

After section 6.4.1 of Ongaro's thesis (2014), with drift accounted for: a
member that answered a request gives no vote for an election timeout after it
came, and it came after it was sent.
"""

from collections.abc import Callable
import math

from burdockdrum.consensus.membership import Member
from burdockdrum.consensus.replica import Replica

# How far the wall clock may run ahead before the lease is distrusted; less
# than what the lease leaves for drift.
_SUSPENSION_SECONDS = 0.01


class Lease:
    """When a quorum was last heard of, and what follows from it."""

    def __init__(
        self, *, replica: Replica, heard_at: Callable[[Member], float]
    ) -> None:
        """Create a lease that does not hold.

        :param heard_at: when the last request that a member answered was
            sent, by this VM's monotonic clock
        """
        self._replica = replica
        self._heard_at = heard_at
        self._trusted_from = -math.inf
        self._wall_offset = math.inf

    def begin(self) -> None:
        """Trust only answers to what is sent from now on."""
        clock = self._replica.clock
        self._trusted_from = clock.monotonic()
        self._wall_offset = clock.wall() - self._trusted_from

    @property
    def is_valid(self) -> bool:
        """Say whether no other member can have been elected."""
        self.notice_suspension()
        settings = self._replica.settings
        ends_at = self.quorum_heard_at + settings.lease_seconds
        return self._replica.clock.monotonic() < ends_at

    @property
    def quorum_heard_at(self) -> float:
        """Return when the last request that a quorum answered was sent.

        Minus infinity if there is none that can be trusted.
        """
        replica = self._replica
        now = replica.clock.monotonic()
        configuration = replica.configuration
        times = [
            now
            if (member.vm_id, member.disk_id)
            == (replica.vm_id, replica.disk_id)
            else self._heard_at(member)
            for member in configuration.voters
        ]
        times.sort(reverse=True)
        heard_at = times[configuration.quorum - 1] if times else -math.inf
        return heard_at if heard_at >= self._trusted_from else -math.inf

    @property
    def silent_seconds(self) -> float:
        """Return for how long no quorum has answered."""
        heard_at = max(self.quorum_heard_at, self._trusted_from)
        return self._replica.clock.monotonic() - heard_at

    def notice_suspension(self) -> None:
        """Trust no earlier answer once the wall clock has run ahead.

        While a VM is suspended its monotonic clock may stand still. When it
        goes on, a lease would look valid that ended long ago; the wall clock
        shows it. One that was only set forward costs the lease for a round
        trip.
        """
        clock = self._replica.clock
        now = clock.monotonic()
        offset = clock.wall() - now
        ahead = offset - self._wall_offset
        if ahead > _SUSPENSION_SECONDS:
            self._trusted_from = now
        if ahead > _SUSPENSION_SECONDS or ahead < 0:
            self._wall_offset = offset
