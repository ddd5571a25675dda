"""One seed of the soak of streams whose versions serve in some regions only.

All machines of one region are killed together with an entry of another one,
as are control VMs with their disks, while callers take up their streams.
"""

import asyncio
import shutil
import time

from burdockdrum.histories import StreamTry
from scripts.local_deployment import Machine
from scripts.soak.receiving import Received
from scripts.soak.retries import ENDPOINTS
from scripts.soak.versioned_endpoint import VersionedEndpoint
from scripts.soak.versions import ENDPOINTS_PER_ZONE
from scripts.soak.versions import MAX_TRIES
from scripts.soak.versions import VersionSoak

# Of each region in turn; the loss of one leaves endpoints of both versions.
VERSIONS_BY_REGION = (("v2",), ("v1",), ("v1", "v2"))
LOSS_INTERVAL_SECONDS = (3.0, 6.0)
MIN_SHARE = 0.9
# A machine that is back counts as lost for so long.
CATCH_UP_SECONDS = 4.0
# The longest time to return that callers wait for, in seconds.
MAX_WAIT_SECONDS = 2.0


class RegionalVersionSoak(VersionSoak):
    """A deployment whose regions have different software versions.

    Endpoints check in at the control VM of their region while it runs.
    """

    def __init__(self, seed: int, *, entries: int = 2) -> None:
        """Create a run that is not started.

        :param entries: the number of entries in each region
        """
        super().__init__(seed, entries=entries)
        self._versioned = [
            VersionedEndpoint(
                rng=self.rng,
                service=next(iter(ENDPOINTS)),
                zone=zone,
                versions=versions,
            )
            for zone, versions in zip(
                self.deployment.zones, VERSIONS_BY_REGION, strict=True
            )
            for _ in range(ENDPOINTS_PER_ZONE)
        ]
        self.endpoints = self._versioned

    async def inject_faults(self) -> None:
        """Lose regions, entries and the disks of control VMs."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.change_failures())
            while True:
                await asyncio.sleep(self.rng.uniform(*LOSS_INTERVAL_SECONDS))
                fault = self.rng.choice(
                    [self.lose_region, self.lose_region, self.lose_disk]
                )
                await self._inject(fault)

    async def lose_region(self) -> None:
        """Kill all machines of a region, and an entry of another one."""
        zone = self.rng.choice(self.deployment.zones)
        lost = [m for m in self.deployment.machines if m.zone == zone]
        others = [e for e in self.deployment.entries if e.zone != zone]
        await asyncio.gather(
            self.restart(lost), self.restart([self.rng.choice(others)])
        )

    async def lose_disk(self) -> None:
        """Kill a control VM and an entry; the first loses its disk."""
        control = self.rng.choice(self.deployment.control)
        await control.stop()
        shutil.rmtree(control.folder / "log", ignore_errors=True)
        await self.restart([self.rng.choice(self.deployment.entries)])
        await control.start()

    def choose_control(self, zone: str) -> Machine:
        """Return the control VM of the zone, another one if it is down."""
        running = [m for m in self.deployment.control if m.process]
        return min(
            running or self.deployment.control,
            key=lambda machine: machine.zone != zone,
        )

    async def _receive(
        self, attempt: StreamTry, tries: list[StreamTry]
    ) -> Received:
        received = await super()._receive(attempt, tries)
        # Without a response the entry was killed.
        attempt.counts &= received.status != 0
        began = next((t for t in tries if t.events), None)
        if began is not None:
            # The region that serves the version may have been lost meanwhile.
            attempt.counts &= self._is_served(began.events[0].version)
        return received

    async def _waits_to_return(
        self, tries: list[StreamTry], received: Received
    ) -> bool:
        """Wait as a refused caller was told; only its last try counts."""
        seconds = received.retry_after
        if seconds is None or seconds > MAX_WAIT_SECONDS:
            return False
        if len(tries) == MAX_TRIES:
            return False
        tries[-1].counts = False
        await asyncio.sleep(seconds)
        return True

    def _is_calm(self, entry: Machine) -> bool:
        """Return whether a try at an entry counts; also just after a loss."""
        return True

    def _list_reachable(self) -> list[VersionedEndpoint]:
        """Return the endpoints of regions with an entry that caught up."""
        since = time.monotonic() - CATCH_UP_SECONDS
        zones = {
            entry.zone
            for entry in self.deployment.entries
            if self._disturbed_at.get(entry.name, 0.0) < since
        }
        return [e for e in self._versioned if e.zone in zones]

    def check(self) -> list[str]:
        """Return what was violated."""
        number, went_on = self.streams.count_taken_up()
        found = super().check()
        if went_on < MIN_SHARE * number:
            found.append(f"{went_on} of {number} streams went on")
        return found
