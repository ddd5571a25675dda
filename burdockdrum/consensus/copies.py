"""One outcome for all copies of a request that the network doubled.

The first copy of a command may be in the log when the second arrives at a
leader that has just stepped down. Refusing the second would tell the caller
that nothing was applied.
"""

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable

from burdockdrum.consensus.messages import ProposeReply
from burdockdrum.peers import Sender

_KEPT = 4096

_Key = tuple[str, int, int]


class Copies:
    """The outcomes of the requests that came last, by their number."""

    def __init__(self) -> None:
        """Create it without outcomes."""
        self._tasks_by_key: collections.OrderedDict[
            _Key, asyncio.Task[ProposeReply]
        ] = collections.OrderedDict()
        self._forgotten_by_sender: dict[tuple[str, int], int] = {}

    async def answer(
        self,
        sender: Sender,
        number: int,
        handle: Callable[[], Awaitable[ProposeReply]],
    ) -> ProposeReply:
        """Handle a request, or wait for what became of its first copy.

        :param number: grows with each request of one start of a VM
        """
        key = (sender.vm_id, sender.incarnation, number)
        task = self._tasks_by_key.get(key)
        if task is None:
            if number <= self._forgotten_by_sender.get(key[:2], 0):
                return ProposeReply(unknown=True, reason="a late copy")
            task = asyncio.ensure_future(_run(handle))
            self._tasks_by_key[key] = task
            self._forget_oldest()
        return await asyncio.shield(task)

    def _forget_oldest(self) -> None:
        while len(self._tasks_by_key) > _KEPT:
            vm_id, incarnation, number = next(iter(self._tasks_by_key))
            del self._tasks_by_key[(vm_id, incarnation, number)]
            sender = (vm_id, incarnation)
            known = self._forgotten_by_sender.get(sender, 0)
            self._forgotten_by_sender[sender] = max(known, number)


async def _run(handle: Callable[[], Awaitable[ProposeReply]]) -> ProposeReply:
    return await handle()
