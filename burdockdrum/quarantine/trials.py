"""Which suspects of a data centre run, one at an endpoint."""

from collections.abc import Callable

from burdockdrum.ports import Clock

# A keeper that hears no end of a trial takes it for over: the entry VM that
# ran it has gone.
TRIAL_SECONDS = 120.0


class Trial:
    """A suspect's run that was granted; released exactly once."""

    def __init__(self, *, on_release: Callable[[], None]) -> None:
        """Create a trial that runs."""
        self._on_release = on_release
        self._released = False

    def release(self) -> None:
        """Let the next suspect run; later calls change nothing."""
        if not self._released:
            self._released = True
            self._on_release()


class TrialTable:
    """The trials that the keeper of a data centre granted."""

    def __init__(self, *, clock: Clock) -> None:
        """Create an empty table."""
        self._clock = clock
        self._fingerprints_by_endpoint: dict[str, tuple[str, float]] = {}

    def grant(self, fingerprint: str, endpoint_id: str) -> bool:
        """Let a suspect run, unless it or another one runs there.

        Two suspects at one endpoint could not be told apart when it is
        lost, and two runs of one suspect could cost two endpoints.
        """
        now = self._clock.monotonic()
        self._fingerprints_by_endpoint = {
            name: (running, until)
            for name, (running, until) in (
                self._fingerprints_by_endpoint.items()
            )
            if until > now
        }
        running = {name for name, _ in self._fingerprints_by_endpoint.values()}
        if endpoint_id in self._fingerprints_by_endpoint:
            return False
        if fingerprint in running:
            return False
        until = now + TRIAL_SECONDS
        self._fingerprints_by_endpoint[endpoint_id] = (fingerprint, until)
        return True

    def end(self, fingerprint: str, endpoint_id: str) -> None:
        """Note that a trial is over."""
        known = self._fingerprints_by_endpoint.get(endpoint_id)
        if known is not None and known[0] == fingerprint:
            del self._fingerprints_by_endpoint[endpoint_id]
