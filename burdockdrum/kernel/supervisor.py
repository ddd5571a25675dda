"""Restarts tasks that fail by an error of their own.

Most tasks work with what other processes send. An error there costs the work
on that peer for a moment, not the process. A service whose failure means that
the process can't keep a promise, such as its storage, runs without it.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import pathlib
import traceback

from burdockdrum.logs import log_failure
from burdockdrum.logs import Value
from burdockdrum.metrics import Metrics
from burdockdrum.ports import Clock

INITIAL_DELAY_SECONDS = 0.1
MAX_DELAY_SECONDS = 5.0
# A task that has run for so long is restarted after the initial delay again.
SOUND_SECONDS = 30.0
# The error may quote what another process sent.
MAX_REASON_CHARACTERS = 200


class Supervisor:
    """Runs tasks again after errors, which it counts and logs."""

    def __init__(self, *, clock: Clock, metrics: Metrics) -> None:
        """Create it with the clock of its delays."""
        self._clock = clock
        self._failures = metrics.counter(
            "burdockdrum_task_failures_total",
            "Errors in tasks that were restarted, by task.",
        )

    async def supervise(
        self, task: str, run: Callable[[], Awaitable[None]], **fields: Value
    ) -> None:
        """Run a task until it returns, and again each time that it fails.

        The delay before a restart doubles with each failure.

        :param task: the name in the log and of the counter
        :param fields: logged with each failure
        """
        delay = INITIAL_DELAY_SECONDS
        while True:
            started_at = self._clock.monotonic()
            try:
                await run()
                return
            except Exception as error:
                self.report(task, error, **fields)
            if self._clock.monotonic() - started_at >= SOUND_SECONDS:
                delay = INITIAL_DELAY_SECONDS
            await self._clock.sleep(delay)
            delay = min(2 * delay, MAX_DELAY_SECONDS)

    def report(self, task: str, error: Exception, **fields: Value) -> None:
        """Count and log an error after which a task goes on."""
        cause = _find_cause(error)
        self._failures.increment(task=task)
        log_failure(
            "task.failed",
            task=task,
            reason=repr(cause)[:MAX_REASON_CHARACTERS],
            raised_in=_describe_place(cause),
            **fields,
        )


def _find_cause(error: Exception) -> Exception:
    """Return the first error of a task group that failed."""
    while isinstance(error, ExceptionGroup):
        error = error.exceptions[0]
    return error


def _describe_place(error: Exception) -> str:
    frames = traceback.extract_tb(error.__traceback__)
    if not frames:
        return ""
    last = frames[-1]
    return f"{pathlib.Path(last.filename).name}:{last.lineno} {last.name}"
