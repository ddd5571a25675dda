"""Simulated callers, which send one request each and retry bookings."""

import asyncio
import random
from typing import TYPE_CHECKING

from burdockdrum.emulator import make_answer
from burdockdrum.histories import Ending
from burdockdrum.histories import RecordingCaller
from burdockdrum.histories import Sort

if TYPE_CHECKING:
    from tests.histories.world import World

TOKENS = (5, 30, 150)
MAX_BOOKING_ATTEMPTS = 4


class Caller:
    """A caller that sends one request at a random time."""

    def __init__(self, *, world: "World", rng: random.Random) -> None:
        """Choose the client, the kind of request and its time."""
        self._world = world
        self._rng = rng
        clients = sorted(world.history.residency_by_client)
        self._client_id = rng.choice(clients)
        self._home = self._client_id.split("-")[1]
        self._sort = rng.choice(list(Sort))
        self._start = rng.uniform(0, world.seconds)

    async def run(self) -> None:
        """Send the request; retry a booking until it is answered."""
        await asyncio.sleep(self._start)
        caller = RecordingCaller(
            history=self._world.history,
            http=self._world.cluster.client(f"{self._home}-caller"),
            now=self._world.now,
            entry_urls_by_vm_id=self._world.entry_urls_by_vm_id,
            numbers=self._world.numbers,
            answer_for=make_answer,
        )
        if self._sort is Sort.BOOKING:
            await self._book(caller)
            return
        await caller.complete(
            client_id=self._client_id,
            token=self._client_id,
            entry=self._choose_home_entry(),
            sort=self._sort,
            tokens=self._rng.choice(TOKENS),
        )

    async def _book(self, caller: RecordingCaller) -> None:
        key = f"key-{next(self._world.numbers)}"
        entry = self._choose_home_entry()
        for _ in range(MAX_BOOKING_ATTEMPTS):
            ended = await caller.book(
                client_id=self._client_id,
                token=self._client_id,
                entry=entry,
                key=key,
            )
            if ended.ending is Ending.ANSWERED:
                return
            await asyncio.sleep(self._rng.uniform(0.1, 4))
            entry = self._rng.choice(self._world.vm_ids)

    def _choose_home_entry(self) -> str:
        return f"{self._home}-{self._rng.choice((1, 2))}"
