"""Trials: runs of suspected requests, at most one per endpoint."""

from collections.abc import Callable

from burdockdrum.ports import Clock

# Time for the end of a trial to arrive, after the deadline of its request.
END_DELAY_SECONDS = 2.0


class Trial:
    """A granted run of a suspect; its release takes effect once."""

    def __init__(self, *, on_release: Callable[[], None]) -> None:
        """Create a trial that is not released yet."""
        self._on_release = on_release
        self._released = False

    def release(self) -> None:
        """Let the next suspect run; further calls have no effect."""
        if not self._released:
            self._released = True
            self._on_release()


class TrialTable:
    """The trials granted by the coordinator of a data centre."""

    def __init__(self, *, clock: Clock) -> None:
        """Create an empty table."""
        self._clock = clock
        self._fingerprints_by_endpoint: dict[str, tuple[str, float]] = {}

    def grant(
        self, fingerprint: str, endpoint_id: str, seconds: float
    ) -> bool:
        """Grant a trial unless the suspect or the endpoint already has one.

        If two suspects shared an endpoint, its loss could not be attributed
        to one of them. Two runs of a suspect could cost two endpoints. A
        trial whose entry VM stopped without reporting its end lasts until the
        run has ended at the latest.

        :param seconds: the longest time that the run may take
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
        until = now + seconds + END_DELAY_SECONDS
        self._fingerprints_by_endpoint[endpoint_id] = (fingerprint, until)
        return True

    def end(self, fingerprint: str, endpoint_id: str) -> None:
        """Remove a trial."""
        entry = self._fingerprints_by_endpoint.get(endpoint_id)
        if entry is not None and entry[0] == fingerprint:
            del self._fingerprints_by_endpoint[endpoint_id]
