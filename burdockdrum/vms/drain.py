"""Graceful drain of this VM, on SIGTERM or by an operator.

The VM is first removed from the entry lists, but serves for as long as callers
may use a list that names it. Then new requests are refused as "not run",
running ones finish, and hooks release leases and the like.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import enum

from loguru import logger

from burdockdrum.ports import Clock
from burdockdrum.timeline import Timeline
from burdockdrum.verdicts import Refusal
from burdockdrum.verdicts import RefusalCode
from burdockdrum.verdicts import Verdict
from burdockdrum.vms.directory import VmDirectory
from burdockdrum.vms.selection import ENTRY_LIST_VALID_SECONDS

# Other entries may return lists with this VM until the drain reaches them.
PROPAGATION_SECONDS = 1.0
HOOKS_TIMEOUT_SECONDS = 5.0
POLL_INTERVAL_SECONDS = 0.05
RETRY_AFTER_SECONDS = 1.0

Hook = Callable[[], Awaitable[None]]


class DrainState(enum.Enum):
    """The steps of a drain."""

    SERVING = "serving"
    DRAINING = "leaving"
    REFUSING = "refusing"
    DONE = "done"


class Drain:
    """Counts the requests in flight and drains this VM."""

    def __init__(
        self,
        *,
        clock: Clock,
        timeline: Timeline,
        vms: VmDirectory,
        limit_seconds: float,
        lists_seconds: float = ENTRY_LIST_VALID_SECONDS + PROPAGATION_SECONDS,
    ) -> None:
        """Create a drain that has not begun.

        :param lists_seconds: how long callers may use a list with this VM
        :param limit_seconds: the longest wait for running requests
        """
        self.state = DrainState.SERVING
        self.done = asyncio.Event()
        self._clock = clock
        self._timeline = timeline
        self._vms = vms
        self._limit_seconds = limit_seconds
        self._lists_seconds = lists_seconds
        self._begin_event = asyncio.Event()
        self._hooks: list[Hook] = []

    def add_hook(self, hook: Hook) -> None:
        """Register a coroutine function to call when no request runs.

        It releases or transfers state such as leases, and is cancelled after
        ``HOOKS_TIMEOUT_SECONDS``.
        """
        self._hooks.append(hook)

    def begin(self) -> None:
        """Start the drain; further calls have no effect."""
        if self.state is not DrainState.SERVING:
            return
        self._enter(DrainState.DRAINING)
        self._vms.draining = True
        self._begin_event.set()

    def check(self) -> None:
        """Check that this VM still accepts requests.

        :raises Refusal: as "not run", if the caller should use another VM
        """
        if self.state in (DrainState.REFUSING, DrainState.DONE):
            raise Refusal(
                code=RefusalCode.DRAINING,
                message="this entry VM is shutting down; use another one",
                verdict=Verdict.NOT_RUN,
                retry_after=RETRY_AFTER_SECONDS,
            )

    @contextlib.contextmanager
    def count_request(self) -> Iterator[None]:
        """Count a request as in flight until the end of its response."""
        self._vms.in_flight += 1
        try:
            yield
        finally:
            self._vms.in_flight -= 1

    async def run(self) -> None:
        """Wait until the drain begins, then carry it out."""
        await self._begin_event.wait()
        logger.info(
            "draining: removed from entry lists, serving for {} s",
            self._lists_seconds,
        )
        await self._clock.sleep(self._lists_seconds)
        self._enter(DrainState.REFUSING)
        await self._wait_for_requests()
        await self._run_hooks()
        self._enter(DrainState.DONE)
        self.done.set()

    async def _wait_for_requests(self) -> None:
        until = self._clock.monotonic() + self._limit_seconds
        while self._vms.in_flight:
            if self._clock.monotonic() >= until:
                count = self._vms.in_flight
                logger.warning(
                    "drain limit of {} s has passed: {} requests cut off",
                    self._limit_seconds,
                    count,
                )
                self._timeline.record("drain.limit_passed", requests=count)
                return
            await self._clock.sleep(POLL_INTERVAL_SECONDS)

    async def _run_hooks(self) -> None:
        try:
            async with asyncio.timeout(HOOKS_TIMEOUT_SECONDS):
                results = await asyncio.gather(
                    *(hook() for hook in self._hooks), return_exceptions=True
                )
        except TimeoutError:
            logger.warning("drain hooks took over {} s", HOOKS_TIMEOUT_SECONDS)
            return
        for result in results:
            if isinstance(result, Exception):
                # Leases that were not released expire by themselves.
                logger.opt(exception=result).warning("drain hook failed")

    def _enter(self, state: DrainState) -> None:
        self.state = state
        self._timeline.record(f"drain.{state.value}")
