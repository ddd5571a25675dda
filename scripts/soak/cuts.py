"""One seed of the soak of entries that lose their links to endpoints."""

import asyncio
from dataclasses import dataclass
import time

from scripts.local_deployment import Machine
from scripts.soak.cut_endpoint import Cut
from scripts.soak.cut_endpoint import CutEndpoint
from scripts.soak.retries import ENDPOINTS
from scripts.soak.retries import RetrySoak

# The platform's rule on first tries at entries that are cut off.
LEARNING_SECONDS = 5.0
MIN_SERVED_RATIO = 2 / 3
MAX_FAILED = 10
MAX_FAILED_FRACTION = 1 / 50
CUT_SECONDS = (7.0, 14.0)
HEALED_SECONDS = 4.0
RATE = 40.0


@dataclass(frozen=True, kw_only=True)
class _Try:
    """The first try of a caller at an entry, and whether it was served."""

    at: float
    entry: str
    is_served: bool


@dataclass(frozen=True, kw_only=True)
class _CutPeriod:
    """A time in which some entries reached no endpoint."""

    began_at: float
    ended_at: float
    entries: frozenset[str]
    cut: Cut


class CutSoak(RetrySoak):
    """A deployment whose entries lose their links to endpoints."""

    def __init__(self, seed: int, *, entries: int = 2) -> None:
        """Create a run that is not started.

        :param entries: the number of entries in each region
        """
        super().__init__(seed, entries=entries, rate=RATE)
        self.cuts_by_pid: dict[int, Cut] = {}
        self.endpoints = [
            CutEndpoint(
                rng=self.rng,
                service=service,
                zone=zone,
                history=self.history,
                read_cuts=lambda: self.cuts_by_pid,
            )
            for zone in self.deployment.zones
            for service, count in ENDPOINTS.items()
            for _ in range(count)
        ]
        self._tries: list[_Try] = []
        self._periods: list[_CutPeriod] = []

    async def send_request(self) -> int:
        """Send a request to a random entry; return the status."""
        entry = self.rng.choice(self.deployment.entries)
        at = time.monotonic()
        status = await self.send_to("/again/x", entry)
        self._tries.append(
            _Try(at=at, entry=entry.name, is_served=status == 200)
        )
        return status

    async def inject_faults(self) -> None:
        """Cut some entries off again and again."""
        while True:
            await self.cut(self._choose_entries(), self.rng.choice(list(Cut)))
            await asyncio.sleep(HEALED_SECONDS)

    async def cut(self, machines: list[Machine], cut: Cut) -> None:
        """Cut entries off from all endpoints for some seconds."""
        began = time.monotonic()
        names = frozenset(machine.name for machine in machines)
        self._record(f"cut off, {cut.value}: {', '.join(sorted(names))}")
        self.cuts_by_pid = {
            machine.process.pid: cut
            for machine in machines
            if machine.process is not None
        }
        await asyncio.sleep(self.rng.uniform(*CUT_SECONDS))
        self.cuts_by_pid = {}
        self._periods.append(
            _CutPeriod(
                began_at=began,
                ended_at=time.monotonic(),
                entries=names,
                cut=cut,
            )
        )

    def _choose_entries(self) -> list[Machine]:
        """Return one entry, one of each region, or all of a region."""
        entries = self.deployment.entries
        zone = self.rng.choice(self.deployment.zones)
        per_zone = len(entries) // len(self.deployment.zones)
        return self.rng.choice(
            [
                [self.rng.choice(entries)],
                entries[::per_zone],
                [entry for entry in entries if entry.zone == zone],
            ]
        )

    def check(self) -> list[str]:
        """Return what was violated."""
        return self.violations + [
            violation
            for period in self._periods
            for violation in self._check_period(period)
        ]

    def _check_period(self, period: _CutPeriod) -> list[str]:
        since = period.began_at + LEARNING_SECONDS
        tries = [t for t in self._tries if since <= t.at < period.ended_at]
        cut = [t for t in tries if t.entry in period.entries]
        others = [t for t in tries if t.entry not in period.entries]
        if not cut or not others:
            return []
        served = sum(t.is_served for t in cut)
        served_elsewhere = sum(t.is_served for t in others)
        summary = (
            f"{period.cut.value}: {served} of {len(cut)} first tries served, "
            f"elsewhere {served_elsewhere} of {len(others)}"
        )
        self.faults.append(summary)
        needed = MIN_SERVED_RATIO * served_elsewhere / len(others)
        allowed = MAX_FAILED + MAX_FAILED_FRACTION * len(tries)
        is_worse = served / len(cut) < needed
        if is_worse and len(cut) - served > allowed:
            return [summary]
        return []
