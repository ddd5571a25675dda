"""The listeners of the pass-through, and the work beside requests."""

from burdockdrum.http1 import ConnectionPool
from burdockdrum.http1 import Listener
from burdockdrum.passthrough.fleet import Fleet
from burdockdrum.passthrough.limits import RetryBudget
from burdockdrum.ports import Clock
from burdockdrum.registrations import RegistrationFollower
from burdockdrum.vms import Drain
from burdockdrum.vms import DrainState

TICK_SECONDS = 0.25


class PassThroughServer:
    """Listen to callers and to other entries."""

    def __init__(
        self,
        *,
        clock: Clock,
        callers: Listener,
        vms: Listener,
        pools: list[ConnectionPool],
        fleet: Fleet,
        budget: RetryBudget,
        registrations: RegistrationFollower,
        drain: Drain,
    ) -> None:
        """Create a server that does not listen yet."""
        self._clock = clock
        self._callers = callers
        self._vms = vms
        self._pools = pools
        self._fleet = fleet
        self._budget = budget
        self._registrations = registrations
        self._drain = drain

    async def run(self) -> None:
        """Listen, and keep shares and connections up to date."""
        await self._callers.open()
        await self._vms.open()
        while True:
            self._update()
            await self._clock.sleep(TICK_SECONDS)

    async def close(self) -> None:
        """Close every connection."""
        await self._callers.close()
        await self._vms.close()
        for pool in self._pools:
            pool.close()

    def _update(self) -> None:
        self._callers.draining = self._drain.state is not DrainState.SERVING
        self._fleet.entries = self._registrations.entries_here
        self._budget.entries = self._registrations.entries_everywhere
        self._fleet.forget_ended()
        for pool in self._pools:
            pool.prune()
