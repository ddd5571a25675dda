"""What this VM knows of the configuration, and since when."""

from collections.abc import Callable
from collections.abc import Mapping
import zlib

from burdockdrum.configuration.history import History
from burdockdrum.ports import Clock
from burdockdrum.resources import Configuration
from burdockdrum.timeline import Timeline


class Knowledge:
    """The history, the age of what it tells, and whether to serve by it.

    ``known`` is false after a start until this VM has learned a revision
    that can't be older than one it served before.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        timeline: Timeline,
        control_addresses: Mapping[str, str],
    ) -> None:
        """Know nothing but the control VMs that the settings name."""
        self.control_addresses = dict(control_addresses)
        self._control_learned_at: float | None = None
        self.history = History()
        self.known = False
        self.listeners: list[Callable[[], None]] = []
        # Told each time that the current revision is known to be the newest.
        self.current_listeners: list[Callable[[], None]] = []
        self._clock = clock
        self._timeline = timeline
        self._started_at: float | None = None
        self._current_at: float | None = None
        self.history.listeners.append(self._record)

    def start(self) -> None:
        """Note that this VM has started to run."""
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
        """Return how many seconds ago the current revision was the newest.

        It is never too low: every step from the control VM here counts from
        before its question was sent. None if no control VM was heard of.
        """
        if self._current_at is None:
            return None
        return max(0.0, self._clock.monotonic() - self._current_at)

    @property
    def current_at(self) -> float | None:
        """Return when the current revision was the newest, None if never."""
        return self._current_at

    def is_since_start(self, moment: float) -> bool:
        """Say whether a moment lies between the start and now."""
        return (
            self._started_at is not None
            and self._started_at <= moment <= self._clock.monotonic()
        )

    def note_current(self, moment: float) -> None:
        """Note that nothing newer had been accepted at a moment.

        What was accepted before this VM started was then known, so the
        current revision is not older than any that it served before.
        """
        is_later = self._current_at is None or moment > self._current_at
        if is_later:
            self._current_at = moment
        if self._started_at is not None and moment >= self._started_at:
            self.mark_known("control")
        if is_later:
            for listener in self.current_listeners:
                listener()

    @property
    def control_digest(self) -> int:
        """Return a digest of the control VMs' addresses."""
        return digest_addresses(self.control_addresses)

    def note_control(self, addresses: Mapping[str, str], now: float) -> None:
        """Note which VMs were the control VMs at a moment.

        What an out-of-date source tells must not bring back one that was
        removed.
        """
        learned_at = self._control_learned_at
        if addresses and (learned_at is None or now >= learned_at):
            self.control_addresses = dict(addresses)
            self._control_learned_at = now

    def mark_known(self, source: str) -> None:
        """Serve by the current revision from now on."""
        if not self.known:
            self.known = True
            self._timeline.record(
                "configuration.known",
                revision=self.current.revision,
                source=source,
            )
            for listener in self.listeners:
                listener()

    def _record(self, configuration: Configuration) -> None:
        self._timeline.record(
            "configuration.in_force", revision=configuration.revision
        )


def digest_addresses(addresses: Mapping[str, str]) -> int:
    """Return a digest of addresses by VM id."""
    lines = sorted(f"{vm_id} {addresses[vm_id]}" for vm_id in addresses)
    return zlib.crc32("\n".join(lines).encode())
