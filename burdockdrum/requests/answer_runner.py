"""Run the attempts of a request until one has answered.

An attempt that is silent goes on while another one is tried beside it. The
first that writes to the caller ends the others, so that a request never fails
because of its second attempt alone.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Generic
from typing import TypeVar

from burdockdrum.attempts import Attempt
from burdockdrum.attempts import RunningAttempts
from burdockdrum.attempts import Superseded
from burdockdrum.requests.attempts import AttemptFailed
from burdockdrum.requests.attempts import Target
from burdockdrum.requests.attempts import Upstream
from burdockdrum.requests.exchange import Exchange
from burdockdrum.requests.read_timer import ReadTimer
from burdockdrum.verdicts import Refusal

T = TypeVar("T")


class AnswerRunner(Generic[T]):
    """Runs the attempts of one request."""

    def __init__(
        self,
        *,
        exchange: Exchange,
        read: Callable[[Upstream, Attempt[Target, T]], Awaitable[T]],
    ) -> None:
        """Create it for a request.

        :param read: reads the answer of an attempt to its end. It claims the
            response before it passes on any of it, and raises
            ``AttemptFailed`` if another attempt may provide the rest.
        """
        self._exchange = exchange
        self._read = read
        self._attempts: RunningAttempts[Target, T] = RunningAttempts()

    async def run(self) -> T:
        """Make attempts until one succeeds.

        :raises Refusal: with the combined verdict, if none does
        """
        attempts = self._attempts
        attempts.start(self._run_attempt)
        try:
            while True:
                ended = await attempts.wait()
                if ended is None:
                    for attempt in attempts:
                        if attempt.is_stalled:
                            self._exchange.record_stall(attempt)
                    attempts.start(self._run_attempt)
                    continue
                try:
                    return ended.task.result()
                except (asyncio.CancelledError, Superseded):
                    if not attempts.is_any_running:
                        raise
                    # The owner of the response runs, which has ended it.
                    self._exchange.record_superseded(ended)
                except AttemptFailed as failure:
                    await self._handle_failure(ended, failure)
                except Refusal as refusal:
                    if not attempts.is_any_running:
                        raise self._exchange.combine(refusal) from None
                    self._exchange.log_not_replaced(refusal)
        finally:
            await attempts.close()

    async def _handle_failure(
        self, ended: Attempt[Target, T], failure: AttemptFailed
    ) -> None:
        """Start another attempt, unless one goes on.

        :raises Refusal: if there is none and another one is not allowed
        """
        self._exchange.record_failure(ended, failure)
        if self._attempts.is_any_running:
            self._exchange.log_not_replaced(failure.refusal)
            self._attempts.ask_for_successor()
            return
        await self._exchange.prepare_retry(failure)
        self._attempts.start(self._run_attempt)

    async def _run_attempt(self, attempt: Attempt[Target, T]) -> T:
        exchange = self._exchange
        attempt.abort = lambda reason: _cancel(attempt)
        timer = ReadTimer(
            report_silence=lambda: exchange.report_silence(attempt, timer)
        )
        attempt.expire = timer.ask
        try:
            upstream = await exchange.open(attempt, timer)
            try:
                return await self._read(upstream, attempt)
            except AttemptFailed as failure:
                await exchange.end_failed(upstream, failure)
                raise
            except BaseException:
                await exchange.abandon(upstream)
                raise
        finally:
            timer.stop()


def _cancel(attempt: Attempt[Target, T]) -> None:
    attempt.task.cancel()
