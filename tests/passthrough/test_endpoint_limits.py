"""Tests of the rate limits that endpoints announce in their responses."""

from tests.passthrough.entries import answer
from tests.passthrough.entries import Endpoint
from tests.passthrough.entries import RelayCase

METRIC = "burdockdrum_endpoint_limit_announcements_total"


class AnnouncementTest(RelayCase):
    """Announcements as an entry receives them."""

    async def call_once_each(self, *announcements):
        """Send a request for each list of announced values."""
        endpoint = Endpoint(
            *(
                answer(
                    b"ok", b"200 OK", *(b"X-Rate-Limit:" + v for v in values)
                )
                for values in announcements
            )
        )
        entry = await self.open(endpoint)
        for _ in announcements:
            self.assertEqual(200, (await entry.call())[0])
        counter = entry.metrics.counter(METRIC, "")
        return {
            result: counter.value(result=result)
            for result in ("announced", "withdrawn", "ignored")
        }

    async def test_changes_and_withdrawal_are_counted_once(self):
        counts = await self.call_once_each(
            [b" 900"], [b" 900"], [b" 950.5"], [], []
        )
        self.assertEqual(
            {"announced": 2, "withdrawn": 1, "ignored": 0}, counts
        )

    async def test_unreadable_announcement_is_ignored(self):
        # Guards against a limit of NaN or infinity, which compares as no
        # limit or as one that never ends.
        unreadable = [
            [b""],
            [b" -1"],
            [b" NaN"],
            [b" inf"],
            [b" 1e999"],
            [b" 1_000"],
            [b" 0x10"],
            [b" 2, 3"],
            [b" " + b"9" * 400],
            [b" 2", b" 2"],
            [b" 2", b" 3"],
        ]
        counts = await self.call_once_each(*unreadable)
        self.assertEqual(
            {"announced": 0, "withdrawn": 0, "ignored": len(unreadable)},
            counts,
        )

    async def test_unreadable_announcement_withdraws_nothing(self):
        counts = await self.call_once_each([b" 900"], [b" nan"], [b" 900"])
        self.assertEqual(
            {"announced": 1, "withdrawn": 0, "ignored": 1}, counts
        )
