"""What orders need of the leases."""

from contextlib import AbstractAsyncContextManager
from typing import Protocol

from burdockdrum.leases import Lease


class Leases(Protocol):
    """Leases with fencing numbers, as ``LeaseService`` offers them."""

    def held(self, name: str) -> Lease | None:
        """Return a lease while this VM provably holds it."""
        ...

    async def acquire(self, name: str, *, timeout: float = 5.0) -> Lease:
        """Acquire a lease, or raise ``LeaseUnavailable``."""
        ...

    async def release(self, name: str) -> None:
        """Give a lease back."""
        ...

    def order(
        self, name: str, *, checks_fencing: bool
    ) -> AbstractAsyncContextManager[Lease]:
        """Bound an order in time; raise ``LeaseNotHeld`` before it."""
        ...
