"""The entry VMs that a client knows, and those that failed recently."""

import random

from burdockdrum.ports import Clock
from burdockdrum.vms import EntryChoice
from burdockdrum.vms import EntryList

# A failed entry stays on the gateway's lists until its peers detect it.
AVOIDANCE_SECONDS = 10.0


class EntryTable:
    """A list of entries with an expiry, and the entries to avoid."""

    def __init__(
        self, *, seeds: list[str], clock: Clock, rng: random.Random
    ) -> None:
        """Create an empty table.

        :param seeds: URLs to use as long as there is no list
        """
        self.entries: list[EntryChoice] = []
        self._seeds = seeds
        self._clock = clock
        self._rng = rng
        self._valid_until = float("-inf")
        self._avoid_until_by_url: dict[str, float] = {}

    def is_valid(self) -> bool:
        """Return whether the list has not expired."""
        return bool(self.entries) and self._clock.monotonic() < (
            self._valid_until
        )

    def update(self, entry_list: EntryList) -> None:
        """Replace the list and restart its validity."""
        self.entries = entry_list.entries
        self._valid_until = self._clock.monotonic() + entry_list.valid_seconds

    def avoid(self, url: str) -> None:
        """Avoid an entry for a while, and expire the list."""
        avoid_until = self._clock.monotonic() + AVOIDANCE_SECONDS
        self._avoid_until_by_url[url] = avoid_until
        self._valid_until = float("-inf")

    def candidate_urls(self) -> list[str]:
        """Return the URLs to query for a list, failed ones last.

        The order is random, so that clients with the same seeds don't all
        query the same VM.
        """
        listed_urls = [entry.url for entry in self.entries]
        urls = sorted({*listed_urls, *self._seeds})
        self._rng.shuffle(urls)
        urls.sort(key=self._is_avoided)
        return urls

    def choose(self) -> str:
        """Return an entry by weight, else a backup, else any known URL."""
        available = [e for e in self.entries if not self._is_avoided(e.url)]
        weighted = [entry for entry in available if entry.weight > 0]
        if weighted:
            weights = [entry.weight for entry in weighted]
            return self._rng.choices(weighted, weights=weights)[0].url
        if available:
            return available[0].url
        return self.candidate_urls()[0]

    def _is_avoided(self, url: str) -> bool:
        avoid_until = self._avoid_until_by_url.get(url, float("-inf"))
        return avoid_until > self._clock.monotonic()
