"""Leases as their holders use them."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Mapping
import contextlib
from dataclasses import dataclass
from dataclasses import replace
import random

from burdockdrum.leases.messages import AcquireLease
from burdockdrum.leases.messages import GiveBackLease
from burdockdrum.leases.messages import LeaseAnswer
from burdockdrum.leases.messages import RenewLeases
from burdockdrum.leases.timing import LEASE_SECONDS
from burdockdrum.leases.timing import ORDER_SECONDS
from burdockdrum.leases.timing import RENEW_SECONDS
from burdockdrum.leases.timing import WAIT_OUT_SECONDS
from burdockdrum.peers import CallFailed
from burdockdrum.peers import Message
from burdockdrum.peers import Peers
from burdockdrum.ports import Clock
from burdockdrum.timeline import Timeline

CALL_SECONDS = 1.0
RETRY_SECONDS = 0.3
ATTEMPT_SECONDS = LEASE_SECONDS / 2


class LeaseUnavailable(Exception):
    """The lease is another's, or no control VM could say."""

    def __init__(self, message: str, *, retry_after: float) -> None:
        """Create an error.

        :param retry_after: seconds after which it may be free
        """
        super().__init__(message)
        self.retry_after = retry_after


class LeaseNotHeld(Exception):
    """The order was not given: this VM does not provably hold the lease."""


@dataclass(frozen=True, kw_only=True)
class Lease:
    """A lease as its holder may believe in it.

    Both times are of the holder's monotonic clock. Endpoints that do not
    check ``fencing`` must get no order before ``wait_out_until``.
    """

    name: str
    fencing: int
    expires_at: float
    wait_out_until: float


class LeaseService:
    """Acquire, renew and give back leases.

    All renewals of a VM go in one message every ``RENEW_SECONDS``.
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
        """Create a service that holds nothing.

        :param read_control_addresses: returns the control VMs' addresses by
            id
        """
        self._peers = peers
        self._clock = clock
        self._rng = rng
        self._timeline = timeline
        self._read_control_addresses = read_control_addresses
        self._keeper_id: str | None = None
        self._leases_by_name: dict[str, Lease] = {}

    def held(self, name: str) -> Lease | None:
        """Return a lease while this VM provably holds it.

        Ask right before each use: a moment later it may have run out.
        """
        lease = self._leases_by_name.get(name)
        if lease is None or self._clock.monotonic() >= lease.expires_at:
            return None
        return lease

    async def acquire(self, name: str, *, timeout: float = 5.0) -> Lease:
        """Acquire a lease, or return the one that is held.

        :param timeout: seconds to try for
        :raises LeaseUnavailable: if it was not granted by then
        """
        held = self.held(name)
        if held is not None:
            return held
        self._leases_by_name.pop(name, None)
        deadline = self._clock.monotonic() + timeout
        started = self._clock.monotonic()
        message = self._make_attempt(name)
        while True:
            if self._clock.monotonic() - started > ATTEMPT_SECONDS:
                # A grant to this attempt would be nearly over already.
                started = self._clock.monotonic()
                message = self._make_attempt(name)
            answer = await self._ask(message)
            now = self._clock.monotonic()
            if answer is not None and answer.grant is not None:
                return self._take_grant(name, answer, started)
            retry_after = answer.retry_after if answer else RETRY_SECONDS
            if now + max(retry_after, RETRY_SECONDS) >= deadline:
                raise LeaseUnavailable(
                    f"lease {name!r} was not granted", retry_after=retry_after
                )
            await self._clock.sleep(max(retry_after, RETRY_SECONDS))

    async def release(self, name: str) -> None:
        """Give a lease back, for another to have at once.

        Call it only when no order under the lease is in flight. If no
        control VM hears of it, the lease runs out by itself.
        """
        lease = self._leases_by_name.pop(name, None)
        if lease is not None:
            self._timeline.record(
                "lease.released", lease=name, fencing=lease.fencing
            )
            await self._ask(GiveBackLease(name=name, fencing=lease.fencing))

    @contextlib.asynccontextmanager
    async def order(
        self, name: str, *, checks_fencing: bool
    ) -> AsyncIterator[Lease]:
        """Give an order under a lease, within ``ORDER_SECONDS``.

        An endpoint that does not check fencing numbers is left alone until
        every order of the holder before has ended. The time limit bounds
        this order for the sake of the holder after.

        :raises LeaseNotHeld: before anything was sent
        :raises TimeoutError: if the order took too long
        """
        lease = self.held(name)
        if lease is not None and not checks_fencing:
            wait = lease.wait_out_until - self._clock.monotonic()
            if wait > 0:
                await self._clock.sleep(wait)
            lease = self.held(name)
        if lease is None:
            raise LeaseNotHeld(name)
        async with asyncio.timeout(ORDER_SECONDS):
            yield lease

    async def run(self) -> None:
        """Renew what is held until cancelled."""
        while True:
            await self._clock.sleep(RENEW_SECONDS)
            self._drop_expired()
            if self._leases_by_name:
                await self._renew()

    def _take_grant(
        self, name: str, answer: LeaseAnswer, started: float
    ) -> Lease:
        assert answer.grant is not None
        now = self._clock.monotonic()
        lease = Lease(
            name=name,
            fencing=answer.grant.fencing,
            # From before the first request went out: the leader counts from
            # later, whichever of the requests it heard.
            expires_at=started + LEASE_SECONDS,
            wait_out_until=now if answer.first else now + WAIT_OUT_SECONDS,
        )
        if now >= lease.expires_at:
            raise LeaseUnavailable(
                f"lease {name!r} came too late", retry_after=0.0
            )
        self._leases_by_name[name] = lease
        self._timeline.record(
            "lease.acquired", lease=name, fencing=lease.fencing
        )
        return lease

    def _make_attempt(self, name: str) -> AcquireLease:
        attempt_id = f"{self._rng.getrandbits(96):024x}"
        return AcquireLease(name=name, attempt_id=attempt_id)

    async def _renew(self) -> None:
        fencing_by_name = {
            name: lease.fencing for name, lease in self._leases_by_name.items()
        }
        started = self._clock.monotonic()
        answer = await self._ask(RenewLeases(fencing_by_name=fencing_by_name))
        if answer is None:
            return
        for name, fencing in fencing_by_name.items():
            lease = self._leases_by_name.get(name)
            if lease is None or lease.fencing != fencing:
                continue
            if name in answer.lost:
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

    async def _ask(self, message: Message) -> LeaseAnswer | None:
        """Ask the control VMs in turn, the last keeper first."""
        addresses_by_id = dict(self._read_control_addresses())
        asked: set[str] = set()
        hint = self._keeper_id
        while len(asked) < len(addresses_by_id):
            left = [vm_id for vm_id in addresses_by_id if vm_id not in asked]
            vm_id = hint if hint in left else left[0]
            asked.add(vm_id)
            answer = await self._ask_one(addresses_by_id[vm_id], message)
            if answer is not None and answer.is_keeper:
                self._keeper_id = vm_id
                return answer
            hint = answer.leader_id if answer is not None else None
        return None

    async def _ask_one(
        self, address: str, message: Message
    ) -> LeaseAnswer | None:
        try:
            return await self._peers.call(
                address, message, LeaseAnswer, timeout=CALL_SECONDS
            )
        except CallFailed:
            return None
