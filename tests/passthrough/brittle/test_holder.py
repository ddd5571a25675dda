"""Tests of the entry that hands out the places at brittle endpoints."""

import asyncio
import functools
import unittest

from burdockdrum.metrics import Metrics
from burdockdrum.passthrough.brittle import PlaceEvent
from burdockdrum.passthrough.brittle import PlaceHolder
from burdockdrum.passthrough.brittle import UsedPlace
from burdockdrum.testing import run_virtual
from burdockdrum.testing import VirtualClock

SLOTS = 4
MAX_REJECTIONS = 8
DEADLINE_SECONDS = 5.0


class HolderTest(unittest.TestCase):
    """An endpoint of four slots that tolerates some rejections."""

    def play(self, test, max_rejections=MAX_REJECTIONS):
        """Run a test under virtual time."""

        async def main():
            self.holder = PlaceHolder(clock=VirtualClock(), metrics=Metrics())
            self.max_rejections = max_rejections
            await test()

        run_virtual(main())

    async def acquire(self, *place_ids):
        """Return which of several places are granted at once or soon."""
        replies = await asyncio.gather(
            *(
                self.holder.acquire(
                    "p",
                    place_id,
                    slots=SLOTS,
                    max_rejections=self.max_rejections,
                    seconds_left=DEADLINE_SECONDS,
                )
                for place_id in place_ids
            )
        )
        return [
            place_id
            for place_id, reply in zip(place_ids, replies, strict=True)
            if reply.is_granted
        ]

    def record(self, event, *place_ids):
        for place_id in place_ids:
            self.holder.record("p", place_id, event)

    def test_no_more_places_than_slots_are_granted(self):
        # Guards against requests that an endpoint has no room for.
        async def check():
            self.assertEqual(list("abcd"), await self.acquire(*"abcdef"))

        self.play(check)

    def test_endpoint_that_has_proved_nothing_is_tried_carefully(self):
        # Guards against rejections of all requests of a new holder, at an
        # endpoint whose slots are taken by requests that it doesn't know of.
        async def check():
            self.assertEqual(["a"], await self.acquire(*"abc"))
            self.record(PlaceEvent.ACCEPTED, "a")
            self.assertEqual(["d"], await self.acquire(*"def"))
            self.record(PlaceEvent.ENDED, "a", "d")
            self.assertEqual(["g", "h", "i"], await self.acquire(*"ghij"))

        self.play(check, max_rejections=3)

    def test_endpoint_with_slots_left_has_room_for_as_many_more(self):
        # Guards against leaving slots unused for seconds whenever endpoints
        # become brittle, and against filling one that is busy.
        async def check(requests, granted):
            self.holder.begin("p", slots=SLOTS, requests=requests)
            self.assertEqual(granted, await self.acquire(*"abcd"))

        for requests, granted in (
            (2.0, ["a", "b", "c"]),
            (3.0, ["a", "b"]),
            (30.0, ["a"]),
        ):
            with self.subTest(requests=requests):
                self.play(
                    functools.partial(check, requests, granted),
                    max_rejections=1,
                )

    def test_rejection_stops_further_attempts_for_a_second(self):
        # Guards against as many rejections as there are requests.
        async def check():
            self.assertEqual(["a"], await self.acquire("a"))
            self.record(PlaceEvent.REJECTED, "a")
            self.assertEqual([], await self.acquire("b"))
            await asyncio.sleep(1.1)
            self.assertEqual(["c"], await self.acquire("c"))

        self.play(check, max_rejections=1)

    def test_endpoint_that_tolerates_nothing_is_left_alone_for_longer(self):
        async def check():
            await self.acquire("a")
            self.record(PlaceEvent.REJECTED, "a")
            await asyncio.sleep(5.0)
            self.assertEqual([], await self.acquire("b"))

        self.play(check, max_rejections=0)

    def test_waiting_request_gets_the_place_that_becomes_free(self):
        # Guards against slots that stay free while requests are refused.
        async def check():
            await self.acquire(*"abcd")
            waiting = asyncio.create_task(self.acquire("e"))
            await asyncio.sleep(0.1)
            self.record(PlaceEvent.ENDED, "b")
            self.assertEqual(["e"], await waiting)

        self.play(check)

    def test_new_holder_counts_the_places_of_the_former_one(self):
        # Guards against a new holder that fills slots which are in use.
        async def check():
            self.holder.take_over(
                "p", slots=SLOTS, max_rejections=MAX_REJECTIONS
            )
            self.holder.adopt(
                "p",
                [
                    UsedPlace(
                        place_id=place_id,
                        seconds_left=DEADLINE_SECONDS,
                        is_accepted=True,
                    )
                    for place_id in "abc"
                ],
            )
            self.assertEqual(["d"], await self.acquire(*"de"))
            self.record(PlaceEvent.ENDED, "a")
            self.assertEqual(["f"], await self.acquire(*"fg"))

        self.play(check)

    def test_new_holder_grants_nothing_unproven_for_a_second(self):
        # Guards against a rejection at an endpoint that tolerates none, by
        # requests of an entry that is gone.
        async def check():
            self.holder.take_over("p", slots=SLOTS, max_rejections=0)
            self.assertEqual([], await self.acquire("a"))
            await asyncio.sleep(1.0)
            self.assertEqual(["b"], await self.acquire("b"))

        self.play(check, max_rejections=0)

    def test_request_that_gave_up_leaves_no_place(self):
        # Guards against a place for a request whose entry has gone on.
        async def check():
            await self.acquire(*"abcd")
            waiting = asyncio.create_task(self.acquire("e"))
            await asyncio.sleep(0.1)
            self.record(PlaceEvent.UNUSED, "e")
            self.assertEqual([], await waiting)
            self.record(PlaceEvent.ENDED, "a")
            self.assertEqual(["f"], await self.acquire("f"))
            self.assertEqual([], await self.acquire("g"))

        self.play(check)

    def test_lost_request_keeps_its_place_for_a_while(self):
        # Guards against counting a run as over that goes on unseen.
        async def check():
            await self.acquire(*"abcd")
            self.record(PlaceEvent.LOST, "a")
            self.assertEqual([], await self.acquire("e"))
            await asyncio.sleep(1.0)
            self.assertEqual(["f"], await self.acquire("f"))

        self.play(check)

    def test_place_ends_after_the_deadline_of_its_request(self):
        # Guards against places that an entry took with it when it was killed.
        async def check():
            await self.acquire(*"abcd")
            await asyncio.sleep(DEADLINE_SECONDS + 1.1)
            self.assertEqual(["e"], await self.acquire("e"))

        self.play(check)

    def test_denial_says_when_there_is_a_place(self):
        async def check():
            await self.acquire(*"abcd")
            reply = await self.holder.acquire(
                "p",
                "e",
                slots=SLOTS,
                max_rejections=MAX_REJECTIONS,
                seconds_left=DEADLINE_SECONDS,
            )
            self.assertFalse(reply.is_granted)
            self.assertGreater(reply.retry_after, 0.0)

        self.play(check)
