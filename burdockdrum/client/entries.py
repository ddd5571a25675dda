"""The entry VMs that a client knows, and those that just failed it."""

import random

from burdockdrum.ports import Clock
from burdockdrum.vms import EntryChoice
from burdockdrum.vms import EntryList

# A dead entry stays on the gateway's lists until the others have noticed.
AVOID_SECONDS = 10.0


class EntryBook:
    """A list of entries with a validity, and what to avoid."""

    def __init__(
        self, *, seeds: list[str], clock: Clock, rng: random.Random
    ) -> None:
        """Create an empty book.

        :param seeds: URLs that are used while there is no list
        """
        self.entries: list[EntryChoice] = []
        self._seeds = seeds
        self._clock = clock
        self._rng = rng
        self._valid_until = float("-inf")
        self._avoid_until_by_url: dict[str, float] = {}

    def is_valid(self) -> bool:
        """Say whether the list may be used without asking again."""
        return bool(self.entries) and self._clock.monotonic() < (
            self._valid_until
        )

    def take(self, found: EntryList) -> None:
        """Replace the list."""
        self.entries = found.entries
        self._valid_until = self._clock.monotonic() + found.valid_seconds

    def avoid(self, url: str) -> None:
        """Choose others than this one for a while."""
        until = self._clock.monotonic() + AVOID_SECONDS
        self._avoid_until_by_url[url] = until
        self._valid_until = float("-inf")

    def sources(self) -> list[str]:
        """Return whom to ask for a list, in a random order.

        Those that failed come last. The order is random so that clients
        with the same seeds do not all ask the first.
        """
        known = [entry.url for entry in self.entries]
        urls = sorted({*known, *self._seeds})
        self._rng.shuffle(urls)
        urls.sort(key=self._is_avoided)
        return urls

    def choose(self) -> str:
        """Return an entry by weight; backups and seeds when all failed."""
        good = [e for e in self.entries if not self._is_avoided(e.url)]
        weighted = [entry for entry in good if entry.weight > 0]
        if weighted:
            weights = [entry.weight for entry in weighted]
            return self._rng.choices(weighted, weights=weights)[0].url
        if good:
            return good[0].url
        return self.sources()[0]

    def _is_avoided(self, url: str) -> bool:
        until = self._avoid_until_by_url.get(url, float("-inf"))
        return until > self._clock.monotonic()
