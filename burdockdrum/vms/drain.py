"""Take this VM out of use without cutting off anybody.

First it is off the lists while it still serves, for as long as callers may
hold a list that names it. Then new work is refused as "not run", what runs
is finished, and leases are handed on. SIGTERM and the operator's drain both
end here.
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
from burdockdrum.vms.selection import VALID_SECONDS

# Other entries may hand out a list with this VM until they have heard.
HEARD_SECONDS = 1.0
HOOKS_SECONDS = 5.0
POLL_SECONDS = 0.05
RETRY_AFTER_SECONDS = 1.0

Hook = Callable[[], Awaitable[None]]


class DrainState(enum.Enum):
    """How far a VM is on its way out."""

    SERVING = "serving"
    LEAVING = "leaving"
    REFUSING = "refusing"
    DONE = "done"


class Drain:
    """Count the requests in flight and see this VM out."""

    def __init__(
        self,
        *,
        clock: Clock,
        timeline: Timeline,
        vms: VmDirectory,
        limit_seconds: float,
        lists_seconds: float = VALID_SECONDS + HEARD_SECONDS,
    ) -> None:
        """Create a drain that has not begun.

        :param lists_seconds: how long callers may hold a list with this VM
        :param limit_seconds: how long running requests are waited for
        """
        self.state = DrainState.SERVING
        self.done = asyncio.Event()
        self._clock = clock
        self._timeline = timeline
        self._vms = vms
        self._limit = limit_seconds
        self._lists_seconds = lists_seconds
        self._begun = asyncio.Event()
        self._hooks: list[Hook] = []

    def add_hook(self, hook: Hook) -> None:
        """Call a coroutine function once nothing runs any more.

        It hands on what this VM holds for others, such as leases, within
        ``HOOKS_SECONDS``.
        """
        self._hooks.append(hook)

    def begin(self) -> None:
        """Start the drain; a second call changes nothing."""
        if self.state is not DrainState.SERVING:
            return
        self._enter(DrainState.LEAVING)
        self._vms.draining = True
        self._begun.set()

    def check(self) -> None:
        """Refuse new work where this VM takes none.

        :raises Refusal: as "not run", when a caller should use another VM
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
        """Count a request from its arrival to the end of its answer."""
        self._vms.in_flight += 1
        try:
            yield
        finally:
            self._vms.in_flight -= 1

    async def run(self) -> None:
        """Wait for the beginning of the drain and bring it to its end."""
        await self._begun.wait()
        logger.info("draining: off the lists, then finishing what runs")
        await self._clock.sleep(self._lists_seconds)
        self._enter(DrainState.REFUSING)
        await self._wait_for_requests()
        await self._hand_on()
        self._enter(DrainState.DONE)
        self.done.set()

    async def _wait_for_requests(self) -> None:
        until = self._clock.monotonic() + self._limit
        while self._vms.in_flight:
            if self._clock.monotonic() >= until:
                count = self._vms.in_flight
                logger.warning("the limit has passed: {} cut off", count)
                self._timeline.record("drain.limit_passed", requests=count)
                return
            await self._clock.sleep(POLL_SECONDS)

    async def _hand_on(self) -> None:
        try:
            async with asyncio.timeout(HOOKS_SECONDS):
                results = await asyncio.gather(
                    *(hook() for hook in self._hooks), return_exceptions=True
                )
        except TimeoutError:
            logger.warning("handing on took over {} s", HOOKS_SECONDS)
            return
        for result in results:
            if isinstance(result, Exception):
                # What a lease's holder failed to hand on runs out by itself.
                logger.opt(exception=result).warning("handing on failed")

    def _enter(self, state: DrainState) -> None:
        self.state = state
        self._timeline.record(f"drain.{state.value}")
