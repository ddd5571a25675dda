"""Timeouts of attempts that may be retried.

An attempt without output for far longer than usual has stalled, and another
one is started beside it. Under load every endpoint is slow, so that this only
happens if another target would accept the request now and the retry budget
allows it.
"""

import asyncio
from collections.abc import Callable

from burdockdrum.passthrough.protocol import EndpointTarget
from burdockdrum.passthrough.protocol import granted_runs
from burdockdrum.passthrough.protocol import has_tried_enough
from burdockdrum.passthrough.protocol import ProxiedRequest
from burdockdrum.passthrough.protocol import RequestProgress
from burdockdrum.passthrough.protocol import Target
from burdockdrum.passthrough.relaying.retry_charges import RetryCharges
from burdockdrum.passthrough.relaying.running_attempts import Attempt
from burdockdrum.passthrough.selection import Fleet
from burdockdrum.pauses import PauseDetector
from burdockdrum.settings import MechanismSettings

# Multiple of the expected wait after which an attempt times out.
EXPECTED_WAIT_FACTOR = 3
# Below the two seconds after which callers abandon a stream, and far above the
# time of an engine's step.
STREAM_IDLE_TIMEOUT_SECONDS = 1.5
# Two round trips to another region, one of them for the connection.
HOP_MARGIN_SECONDS = 0.3
# How often an idle attempt is checked again.
RECHECK_INTERVAL_SECONDS = 0.25
# The resolution of the event loop's timers.
MIN_DELAY_SECONDS = 0.001
# Above the rounding errors of differences of times.
TOLERANCE_SECONDS = 1e-6

HasAlternative = Callable[[ProxiedRequest, RequestProgress, Target], bool]


class AttemptWatchdog:
    """Reports an attempt that has been idle for too long."""

    def __init__(
        self,
        *,
        first_chunk_timeout_seconds: float,
        idle_timeout_seconds: float,
        may_retry: Callable[[], bool],
        report_stall: Callable[[], None],
        pauses: PauseDetector | None = None,
    ) -> None:
        """Start the timer; requires a running event loop.

        :param first_chunk_timeout_seconds: until the first chunk of the
            response
        :param idle_timeout_seconds: between two chunks
        :param may_retry: returns whether a retry is possible now
        :param report_stall: called when the attempt should be retried
        :param pauses: detects pauses of this process, which don't count
        """
        self._loop = asyncio.get_running_loop()
        self._idle_timeout_seconds = idle_timeout_seconds
        self._may_retry = may_retry
        self._report_stall = report_stall
        self._pauses = pauses
        # While the endpoint is not read.
        self.is_suspended = False
        self._timeout_seconds = first_chunk_timeout_seconds
        self._heard_at = self._read_time()
        self._timer = self._loop.call_later(self._timeout_seconds, self._check)

    def record_chunk(self) -> None:
        """Restart the idle timeout after a chunk was received."""
        self._heard_at = self._read_time()
        self._timeout_seconds = self._idle_timeout_seconds

    def resume(self) -> None:
        """Restart the idle timeout after the endpoint was not read."""
        self.is_suspended = False
        self.record_chunk()

    def expire(self) -> None:
        """Let the timeout pass now; the attempt goes on if it must."""
        self._timer.cancel()
        self._timeout_seconds = 0.0
        self._check()

    def stop(self) -> None:
        """Cancel the timer."""
        self._timer.cancel()

    def _check(self) -> None:
        delay = self._timeout_seconds - self._read_silence()
        if delay <= TOLERANCE_SECONDS:
            if not self.is_suspended and self._may_retry():
                self._report_stall()
            delay = RECHECK_INTERVAL_SECONDS
        delay = max(delay, MIN_DELAY_SECONDS)
        self._timer = self._loop.call_later(delay, self._check)

    def _read_time(self) -> float:
        if self._pauses is None:
            return self._loop.time()
        return self._pauses.monotonic()

    def _read_silence(self) -> float:
        """Return for how many seconds nothing was received."""
        if self._pauses is None:
            return self._loop.time() - self._heard_at
        return self._pauses.awake_seconds_since(self._heard_at)


class AttemptTimeouts:
    """Computes timeouts of attempts and creates their watchdogs."""

    def __init__(
        self,
        *,
        fleet: Fleet,
        retries: RetryCharges,
        has_alternative: HasAlternative,
        mechanisms: MechanismSettings | None = None,
        pauses: PauseDetector | None = None,
    ) -> None:
        """Create the policy.

        :param fleet: provides usual run times
        :param retries: charges each retry
        :param has_alternative: returns whether another target would accept a
            request
        :param mechanisms: the enabled parts of the policy; default all
        :param pauses: detects pauses of this process; none if None
        """
        self._pauses = pauses
        self._mechanisms = mechanisms or MechanismSettings()
        self._fleet = fleet
        self._retries = retries
        self._has_alternative = has_alternative

    def start_watchdog(
        self,
        target: Target,
        request: ProxiedRequest,
        progress: RequestProgress,
        attempt: Attempt,
        report_stall: Callable[[], None],
    ) -> AttemptWatchdog | None:
        """Start a watchdog for an attempt, None if it can't be retried."""
        if not self._mechanisms.silence_given_up or not request.is_retryable:
            return None
        runs = granted_runs(target, request, progress)
        if progress.begun_runs + runs >= request.attempts:
            return None
        return AttemptWatchdog(
            first_chunk_timeout_seconds=self.first_chunk_timeout(
                target, request
            ),
            idle_timeout_seconds=STREAM_IDLE_TIMEOUT_SECONDS,
            may_retry=lambda: (
                attempt.may_have_successor
                and self._acquire_retry(target, request, progress, attempt)
            ),
            report_stall=report_stall,
            pauses=self._pauses,
        )

    def first_chunk_timeout(
        self, target: Target, request: ProxiedRequest
    ) -> float:
        """Return the seconds to wait for the first chunk."""
        usual = self._fleet.stall_timeout_seconds(request.backend.name)
        if isinstance(target, EndpointTarget):
            wait = target.choice.wait
            expected = wait.queue + wait.service_time
            return max(usual, expected * EXPECTED_WAIT_FACTOR)
        expected = target.wait_seconds * EXPECTED_WAIT_FACTOR
        return max(usual, expected) + HOP_MARGIN_SECONDS

    def _acquire_retry(
        self,
        target: Target,
        request: ProxiedRequest,
        progress: RequestProgress,
        attempt: Attempt,
    ) -> bool:
        runs = attempt.counted_runs or granted_runs(target, request, progress)
        others = progress.begun_runs - attempt.counted_runs
        if others + runs >= request.attempts:
            return False
        if has_tried_enough(request, progress):
            return False
        if not self._has_alternative(request, progress, target):
            return False
        return self._retries.ensure_charged(request, progress)
