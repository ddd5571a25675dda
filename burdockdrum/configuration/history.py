"""The newest configuration and its recent changes."""

import asyncio
import collections
from collections.abc import AsyncIterator
from collections.abc import Callable

from burdockdrum.resources import Configuration
from burdockdrum.resources import ResourceRevision

# Covers two and a half hours at 9,500 changes a day. Changes share their
# resources with the configurations, so only replaced ones take memory.
MAX_KEPT_REVISIONS = 1000


class RevisionGone(Exception):
    """Changes after the requested revision are no longer kept."""

    def __init__(self, *, revision: int, oldest: int) -> None:
        """Create an error.

        :param oldest: the oldest revision from which to watch
        """
        super().__init__(
            f"the changes after revision {revision} are not kept; those "
            f"after {oldest} are: list the resources again"
        )
        self.oldest = oldest


class History:
    """The newest configuration of this VM and its recent changes.

    It never returns to an older revision.
    """

    def __init__(self) -> None:
        """Create a history at revision 0."""
        self.current = Configuration()
        self.listeners: list[Callable[[Configuration], None]] = []
        self._changes = collections.deque[ResourceRevision](
            maxlen=MAX_KEPT_REVISIONS
        )
        self._revision_added = asyncio.Event()

    @property
    def oldest(self) -> int:
        """Return the oldest revision whose later changes are all kept."""
        return self.current.revision - len(self._changes)

    def advance(self, changes: list[ResourceRevision]) -> bool:
        """Apply changes that follow the current revision.

        Changes that were applied already are skipped.

        :returns: False, with nothing applied, if a revision is missing
        """
        revision = self.current.revision
        new = [change for change in changes if change.revision > revision]
        for number, change in enumerate(new, revision + 1):
            if change.revision != number:
                return False
        if new:
            self._changes.extend(new)
            self._set_current(self.current.revise(new))
        return True

    def replace(self, configuration: Configuration) -> bool:
        """Replace the configuration, unless the new one is older.

        :returns: whether it was replaced
        """
        if configuration.revision < self.current.revision:
            return False
        self._changes.clear()
        self._set_current(configuration)
        return True

    def changes_after(self, revision: int) -> list[ResourceRevision]:
        """Return the changes after a revision, oldest first.

        :raises RevisionGone: if some are no longer kept
        """
        count = self.current.revision - revision
        if count > len(self._changes):
            raise RevisionGone(revision=revision, oldest=self.oldest)
        start = len(self._changes) - max(0, count)
        return [self._changes[i] for i in range(start, len(self._changes))]

    async def watch(self, revision: int) -> AsyncIterator[ResourceRevision]:
        """Yield the changes after a revision as they occur, endlessly.

        Watchers have no queues of their own, so that a slow one gets an error
        when it falls behind the kept changes.

        :raises RevisionGone: if some are no longer kept
        """
        while True:
            revision_added = self._revision_added
            for change in self.changes_after(revision):
                yield change
                revision = change.revision
            if revision >= self.current.revision:
                await revision_added.wait()

    def _set_current(self, configuration: Configuration) -> None:
        self.current = configuration
        self._revision_added.set()
        self._revision_added = asyncio.Event()
        for listener in self.listeners:
            listener(configuration)
