"""The listeners of the proxy and its periodic maintenance."""

import asyncio
from collections.abc import Callable

from burdockdrum.http1 import ConnectionPool
from burdockdrum.http1 import Listener
from burdockdrum.kernel import Supervisor
from burdockdrum.passthrough.brittle import PlaceBroker
from burdockdrum.passthrough.protocol import RequestProgress
from burdockdrum.passthrough.relaying.crash_detector import CrashDetector
from burdockdrum.passthrough.relaying.endpoint_prober import EndpointProber
from burdockdrum.passthrough.relaying.relay import make_stop_refusal
from burdockdrum.passthrough.selection import Fleet
from burdockdrum.passthrough.state import EndpointLimits
from burdockdrum.passthrough.state import RequestedBackoffs
from burdockdrum.passthrough.state import RetryBudget
from burdockdrum.passthrough.waiting import RequestHolder
from burdockdrum.ports import Clock
from burdockdrum.registrations import RegistrationFollower
from burdockdrum.vms import Drain
from burdockdrum.vms import DrainState

UPDATE_INTERVAL_SECONDS = 0.25
# How long the responses to requests that are refused at the end may take.
REFUSAL_TIMEOUT_SECONDS = 0.25


class PassThroughServer:
    """Serves callers and other entries on a listener each."""

    def __init__(
        self,
        *,
        clock: Clock,
        supervisor: Supervisor,
        callers: Listener,
        vms: Listener,
        pools: list[ConnectionPool],
        fleet: Fleet,
        limits: EndpointLimits,
        backoffs: RequestedBackoffs,
        places: PlaceBroker,
        budget: RetryBudget,
        registrations: RegistrationFollower,
        drain: Drain,
        holder: RequestHolder,
        crashes: CrashDetector,
        prober: EndpointProber,
        stop_requests: Callable[[], None],
    ) -> None:
        """Create a server; ``run`` opens its listeners.

        :param stop_requests: refuses the requests that run
        """
        self._crashes = crashes
        self._places = places
        self._prober = prober
        self._clock = clock
        self._supervisor = supervisor
        self._callers = callers
        self._vms = vms
        self._pools = pools
        self._fleet = fleet
        self._limits = limits
        self._backoffs = backoffs
        self._budget = budget
        self._registrations = registrations
        self._drain = drain
        self._holder = holder
        self._stop_requests = stop_requests
        # An endpoint must not be used before the entries that share it are
        # counted.
        registrations.listeners.append(self._update_entries)

    async def run(self) -> None:
        """Open the listeners, then update shares and pools periodically."""
        await self._callers.open()
        await self._vms.open()
        await self._supervisor.supervise(
            "passthrough.update", self._update_periodically
        )

    async def _update_periodically(self) -> None:
        while True:
            self._update()
            await self._clock.sleep(UPDATE_INTERVAL_SECONDS)

    async def close(self) -> None:
        """Refuse the requests that run and close all connections."""
        self._holder.refuse_all(make_stop_refusal(RequestProgress()))
        self._stop_requests()
        await asyncio.gather(
            self._callers.close(timeout_seconds=REFUSAL_TIMEOUT_SECONDS),
            self._vms.close(timeout_seconds=REFUSAL_TIMEOUT_SECONDS),
        )
        for pool in self._pools:
            pool.close()

    def _update(self) -> None:
        self._callers.draining = self._drain.state is not DrainState.SERVING
        self._update_entries()
        self._budget.update()
        self._crashes.update()
        self._prober.update()
        self._fleet.remove_ended()
        self._limits.remove_ended()
        self._backoffs.remove_ended()
        self._places.update()
        for pool in self._pools:
            pool.prune()

    def _update_entries(self) -> None:
        self._fleet.entries = self._registrations.region_entries
