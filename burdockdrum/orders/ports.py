"""Interface to the leases that orders depend on."""

from contextlib import AbstractAsyncContextManager
from typing import Protocol

from burdockdrum.leases import Lease


class Leases(Protocol):
    """Leases with fencing numbers; implemented by ``LeaseService``."""

    def held(self, name: str) -> Lease | None:
        """Return the lease if this VM provably holds it."""
        ...

    async def acquire(self, name: str, *, timeout: float = 5.0) -> Lease:
        """Acquire a lease, or raise ``LeaseUnavailable``."""
        ...

    async def release(self, name: str) -> None:
        """Release a lease."""
        ...

    def order(
        self, name: str, *, checks_fencing: bool
    ) -> AbstractAsyncContextManager[Lease]:
        """Run an order with a time limit, or raise ``LeaseNotHeld``."""
        ...
