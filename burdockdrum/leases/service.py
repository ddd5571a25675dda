"""The client side of leases: acquires, renews and releases them."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Mapping
import contextlib
from dataclasses import dataclass
from dataclasses import replace
import random

from burdockdrum.leases.messages import AcquireLeaseRequest
from burdockdrum.leases.messages import LeaseResponse
from burdockdrum.leases.messages import ReleaseLeaseRequest
from burdockdrum.leases.messages import RenewLeasesRequest
from burdockdrum.leases.timing import LEASE_SECONDS
from burdockdrum.leases.timing import ORDER_SECONDS
from burdockdrum.leases.timing import RENEW_SECONDS
from burdockdrum.leases.timing import WAIT_OUT_SECONDS
from burdockdrum.peers import CallFailed
from burdockdrum.peers import Message
from burdockdrum.peers import Peers
from burdockdrum.ports import Clock
from burdockdrum.timeline import Timeline

CALL_TIMEOUT_SECONDS = 1.0
RETRY_DELAY_SECONDS = 0.3
MAX_ATTEMPT_AGE_SECONDS = LEASE_SECONDS / 2


class LeaseUnavailable(Exception):
    """Another VM holds the lease, or no leader could be reached."""

    def __init__(self, message: str, *, retry_after: float) -> None:
        """Create an error.

        :param retry_after: seconds after which the lease may be available
        """
        super().__init__(message)
        self.retry_after = retry_after


class LeaseNotHeld(Exception):
    """This VM does not provably hold the lease; nothing was sent."""


@dataclass(frozen=True, kw_only=True)
class Lease:
    """A lease as seen by its holder.

    Both times are of the holder's monotonic clock. Endpoints that don't
    check ``fencing`` must not get an order before ``former_orders_end_at``,
    when the orders of former holders have ended.
    """

    name: str
    fencing: int
    expires_at: float
    former_orders_end_at: float


class LeaseService:
    """Acquires, renews and releases leases.

    One message per renewal interval renews all leases of the VM.
    """

    def __init__(
        self,
        *,
        peers: Peers,
        clock: Clock,
        rng: random.Random,
        timeline: Timeline,
        read_control_addresses: Callable[[], Mapping[str, str]],
    ) -> None:
        """Create a service without leases.

        :param read_control_addresses: returns the control VMs' addresses by
            id
        """
        self._peers = peers
        self._clock = clock
        self._rng = rng
        self._timeline = timeline
        self._read_control_addresses = read_control_addresses
        self._leader_id: str | None = None
        self._leases_by_name: dict[str, Lease] = {}

    def held(self, name: str) -> Lease | None:
        """Return the lease if this VM provably holds it.

        Call it right before each use, because the lease may expire.
        """
        lease = self._leases_by_name.get(name)
        if lease is None or self._clock.monotonic() >= lease.expires_at:
            return None
        return lease

    async def acquire(self, name: str, *, timeout: float = 5.0) -> Lease:
        """Acquire a lease, or return it if it is held already.

        :param timeout: time limit in seconds
        :raises LeaseUnavailable: if it was not granted in time
        """
        held = self.held(name)
        if held is not None:
            return held
        self._leases_by_name.pop(name, None)
        deadline = self._clock.monotonic() + timeout
        started = self._clock.monotonic()
        message = self._make_request(name)
        while True:
            if self._clock.monotonic() - started > MAX_ATTEMPT_AGE_SECONDS:
                # A grant counts from the first request of the attempt and
                # would expire soon.
                started = self._clock.monotonic()
                message = self._make_request(name)
            response = await self._call_leader(message)
            now = self._clock.monotonic()
            if response is not None and response.grant is not None:
                return self._accept_grant(name, response, started)
            retry_after = (
                response.retry_after if response else RETRY_DELAY_SECONDS
            )
            if now + max(retry_after, RETRY_DELAY_SECONDS) >= deadline:
                raise LeaseUnavailable(
                    f"lease {name!r} was not granted", retry_after=retry_after
                )
            await self._clock.sleep(max(retry_after, RETRY_DELAY_SECONDS))

    async def release(self, name: str) -> None:
        """Release a lease, so that another VM can acquire it at once.

        Call it only when no order under the lease is in flight. If no
        control VM can be reached, the lease expires.
        """
        lease = self._leases_by_name.pop(name, None)
        if lease is not None:
            self._timeline.record(
                "lease.released", lease=name, fencing=lease.fencing
            )
            await self._call_leader(
                ReleaseLeaseRequest(name=name, fencing=lease.fencing)
            )

    @contextlib.asynccontextmanager
    async def order(
        self, name: str, *, checks_fencing: bool
    ) -> AsyncIterator[Lease]:
        """Run an order under a lease, within the timeout of orders.

        Without fencing numbers, it first waits until all orders of former
        holders have ended. The next holder relies on the time limit in the
        same way.

        :raises LeaseNotHeld: if the lease is not held; nothing was sent
        :raises TimeoutError: if the order exceeded its time limit
        """
        lease = self.held(name)
        if lease is not None and not checks_fencing:
            wait = lease.former_orders_end_at - self._clock.monotonic()
            if wait > 0:
                await self._clock.sleep(wait)
            lease = self.held(name)
        if lease is None:
            raise LeaseNotHeld(name)
        async with asyncio.timeout(ORDER_SECONDS):
            yield lease

    async def run(self) -> None:
        """Renew the held leases until cancelled."""
        while True:
            await self._clock.sleep(RENEW_SECONDS)
            self._drop_expired()
            if self._leases_by_name:
                await self._renew()

    def _accept_grant(
        self, name: str, response: LeaseResponse, started: float
    ) -> Lease:
        assert response.grant is not None
        now = self._clock.monotonic()
        lease = Lease(
            name=name,
            fencing=response.grant.fencing,
            # Counts from before the first request, so that it expires here
            # before it does on the leader.
            expires_at=started + LEASE_SECONDS,
            former_orders_end_at=(
                now if response.first else now + WAIT_OUT_SECONDS
            ),
        )
        if now >= lease.expires_at:
            raise LeaseUnavailable(
                f"lease {name!r} expired before its grant arrived",
                retry_after=0.0,
            )
        self._leases_by_name[name] = lease
        self._timeline.record(
            "lease.acquired", lease=name, fencing=lease.fencing
        )
        return lease

    def _make_request(self, name: str) -> AcquireLeaseRequest:
        attempt_id = f"{self._rng.getrandbits(96):024x}"
        return AcquireLeaseRequest(name=name, attempt_id=attempt_id)

    async def _renew(self) -> None:
        fencing_by_name = {
            name: lease.fencing for name, lease in self._leases_by_name.items()
        }
        started = self._clock.monotonic()
        response = await self._call_leader(
            RenewLeasesRequest(fencing_by_name=fencing_by_name)
        )
        if response is None:
            return
        for name, fencing in fencing_by_name.items():
            lease = self._leases_by_name.get(name)
            if lease is None or lease.fencing != fencing:
                continue
            if name in response.lost:
                self._drop(name)
            else:
                self._leases_by_name[name] = replace(
                    lease, expires_at=started + LEASE_SECONDS
                )

    def _drop_expired(self) -> None:
        for name in list(self._leases_by_name):
            if self.held(name) is None:
                self._drop(name)

    def _drop(self, name: str) -> None:
        lease = self._leases_by_name.pop(name)
        self._timeline.record("lease.lost", lease=name, fencing=lease.fencing)

    async def _call_leader(self, message: Message) -> LeaseResponse | None:
        """Call the control VMs in turn, the last known leader first."""
        addresses_by_id = dict(self._read_control_addresses())
        called: set[str] = set()
        hint = self._leader_id
        while len(called) < len(addresses_by_id):
            remaining = [
                vm_id for vm_id in addresses_by_id if vm_id not in called
            ]
            vm_id = hint if hint in remaining else remaining[0]
            called.add(vm_id)
            response = await self._call(addresses_by_id[vm_id], message)
            if response is not None and response.from_leader:
                self._leader_id = vm_id
                return response
            hint = response.leader_id if response is not None else None
        return None

    async def _call(
        self, address: str, message: Message
    ) -> LeaseResponse | None:
        try:
            return await self._peers.call(
                address, message, LeaseResponse, timeout=CALL_TIMEOUT_SECONDS
            )
        except CallFailed:
            return None
