"""The configuration as known to this VM, and its age."""

from collections.abc import Callable
from collections.abc import Mapping
import zlib

from burdockdrum.configuration.history import History
from burdockdrum.ports import Clock
from burdockdrum.resources import Configuration
from burdockdrum.timeline import Timeline


class LocalConfiguration:
    """The configuration history of this VM and whether it is current.

    ``is_synced`` is false after a start until this VM has learned a revision
    that can't be older than any it served before.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        timeline: Timeline,
        control_addresses: Mapping[str, str],
    ) -> None:
        """Create an empty configuration with the given control VMs."""
        self.control_addresses = dict(control_addresses)
        self._control_addresses_at: float | None = None
        self.history = History()
        self.is_synced = False
        self.sync_listeners: list[Callable[[], None]] = []
        # Called with each confirmation that the revision is the newest.
        self.confirmed_listeners: list[Callable[[], None]] = []
        self._clock = clock
        self._timeline = timeline
        self._started_at: float | None = None
        self._confirmed_at: float | None = None
        self.history.listeners.append(self._record)

    def start(self) -> None:
        """Record the start of this VM, once."""
        if self._started_at is None:
            self._started_at = self._clock.monotonic()

    @property
    def current(self) -> Configuration:
        """Return the configuration in force here."""
        return self.history.current

    @property
    def uptime(self) -> float:
        """Return the seconds since the start."""
        if self._started_at is None:
            return 0.0
        return self._clock.monotonic() - self._started_at

    @property
    def age(self) -> float | None:
        """Return the seconds since this was known to be the newest revision.

        The age is never underestimated, because each hop from the control VM
        counts from before its request was sent. None without a confirmation.
        """
        if self._confirmed_at is None:
            return None
        return max(0.0, self._clock.monotonic() - self._confirmed_at)

    @property
    def confirmed_at(self) -> float | None:
        """Return when the revision was last confirmed, None if never."""
        return self._confirmed_at

    def is_after_start(self, moment: float) -> bool:
        """Return whether a time lies between the start and now."""
        return (
            self._started_at is not None
            and self._started_at <= moment <= self._clock.monotonic()
        )

    def confirm_current(self, moment: float) -> None:
        """Record that the current revision was the newest at a given time.

        If that time is after the start of this VM, the revision is not older
        than any that it served before, so that it is synchronized.
        """
        is_later = self._confirmed_at is None or moment > self._confirmed_at
        if is_later:
            self._confirmed_at = moment
        if self._started_at is not None and moment >= self._started_at:
            self.mark_synced("control")
        if is_later:
            for listener in self.confirmed_listeners:
                listener()

    @property
    def control_digest(self) -> int:
        """Return a checksum of the control VMs' addresses."""
        return digest_addresses(self.control_addresses)

    def update_control_addresses(
        self, addresses: Mapping[str, str], moment: float
    ) -> None:
        """Set the addresses of the control VMs, as known at a given time.

        Older information is ignored; it could bring back a removed VM.
        """
        learned_at = self._control_addresses_at
        if addresses and (learned_at is None or moment >= learned_at):
            self.control_addresses = dict(addresses)
            self._control_addresses_at = moment

    def mark_synced(self, source: str) -> None:
        """Mark this VM as synchronized."""
        if not self.is_synced:
            self.is_synced = True
            self._timeline.record(
                "configuration.known",
                revision=self.current.revision,
                source=source,
            )
            for listener in self.sync_listeners:
                listener()

    def _record(self, configuration: Configuration) -> None:
        self._timeline.record(
            "configuration.in_force", revision=configuration.revision
        )


def digest_addresses(addresses: Mapping[str, str]) -> int:
    """Return a checksum of addresses by VM id."""
    lines = sorted(f"{vm_id} {addresses[vm_id]}" for vm_id in addresses)
    return zlib.crc32("\n".join(lines).encode())
