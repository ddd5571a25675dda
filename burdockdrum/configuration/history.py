"""The configuration and the changes that led to it."""

import asyncio
import collections
from collections.abc import AsyncIterator
from collections.abc import Callable

from burdockdrum.resources import Configuration
from burdockdrum.resources import Revised

# Two and a half hours at 9,500 changes a day. The resources are shared with
# the configurations, so only the replaced ones take memory.
KEPT_REVISIONS = 1000


class RevisionGone(Exception):
    """The changes since a revision are kept no more: list again."""

    def __init__(self, *, revision: int, oldest: int) -> None:
        """Create an error.

        :param oldest: the oldest revision to watch from
        """
        super().__init__(
            f"the changes after revision {revision} are not kept; those "
            f"after {oldest} are: list the resources again"
        )
        self.oldest = oldest


class History:
    """The newest configuration known here and the changes before it.

    It never goes back to an older revision.
    """

    def __init__(self) -> None:
        """Create a history at revision 0."""
        self.current = Configuration()
        self.listeners: list[Callable[[Configuration], None]] = []
        self._changes = collections.deque[Revised](maxlen=KEPT_REVISIONS)
        self._grown = asyncio.Event()

    @property
    def oldest(self) -> int:
        """Return the oldest revision whose later changes are all kept."""
        return self.current.revision - len(self._changes)

    def advance(self, changes: list[Revised]) -> bool:
        """Take in changes that follow the current revision.

        Changes that are known already are left out.

        :returns: False, with nothing taken in, if one between is missing
        """
        revision = self.current.revision
        new = [change for change in changes if change.revision > revision]
        for number, change in enumerate(new, revision + 1):
            if change.revision != number:
                return False
        if new:
            self._changes.extend(new)
            self._put(self.current.revise(new))
        return True

    def replace(self, configuration: Configuration) -> bool:
        """Take in a whole configuration, unless it is an older one.

        :returns: whether it was taken in
        """
        if configuration.revision < self.current.revision:
            return False
        self._changes.clear()
        self._put(configuration)
        return True

    def changes_after(self, revision: int) -> list[Revised]:
        """Return the changes after a revision, oldest first.

        :raises RevisionGone: if some are not kept
        """
        count = self.current.revision - revision
        if count > len(self._changes):
            raise RevisionGone(revision=revision, oldest=self.oldest)
        start = len(self._changes) - max(0, count)
        return [self._changes[i] for i in range(start, len(self._changes))]

    async def watch(self, revision: int) -> AsyncIterator[Revised]:
        """Yield the changes after a revision as they come, without end.

        A watcher holds no queue of its own: a slow one that falls behind
        what is kept is told so.

        :raises RevisionGone: if some are not kept
        """
        while True:
            grown = self._grown
            for change in self.changes_after(revision):
                yield change
                revision = change.revision
            if revision >= self.current.revision:
                await grown.wait()

    def _put(self, configuration: Configuration) -> None:
        self.current = configuration
        self._grown.set()
        self._grown = asyncio.Event()
        for listener in self.listeners:
            listener(configuration)
