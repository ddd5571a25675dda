"""Deduplicates requests that the network has delivered more than once.

The first copy of a command may be in the log when the second one reaches a
leader that has just stepped down. Rejecting the second copy would tell the
caller that the command was not applied.
"""

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable

from burdockdrum.consensus.messages import ProposeReply
from burdockdrum.peers import Sender

_MAX_REQUESTS = 4096
# Senders of requests that were evicted. Copies arrive at most minutes late,
# in which few VMs are replaced.
_MAX_SENDERS = 4096

_RequestKey = tuple[str, int, int]


class RequestDeduplicator:
    """Keeps the outcomes of the latest requests by sender and number."""

    def __init__(self) -> None:
        """Create it without requests."""
        self._tasks_by_request: collections.OrderedDict[
            _RequestKey, asyncio.Task[ProposeReply]
        ] = collections.OrderedDict()
        # The senders whose requests were evicted last come last.
        self._evicted_number_by_sender: collections.OrderedDict[
            tuple[str, int], int
        ] = collections.OrderedDict()

    async def run_once(
        self,
        sender: Sender,
        number: int,
        handle: Callable[[], Awaitable[ProposeReply]],
    ) -> ProposeReply:
        """Handle a request, or return the outcome of its first copy.

        :param number: increases with each request of a VM until it restarts
        """
        key = (sender.vm_id, sender.incarnation, number)
        task = self._tasks_by_request.get(key)
        if task is None:
            if number <= self._evicted_number_by_sender.get(key[:2], 0):
                return ProposeReply(unknown=True, reason="late duplicate")
            task = asyncio.ensure_future(_run(handle))
            self._tasks_by_request[key] = task
            self._evict_oldest()
        return await asyncio.shield(task)

    def _evict_oldest(self) -> None:
        while len(self._tasks_by_request) > _MAX_REQUESTS:
            vm_id, incarnation, number = next(iter(self._tasks_by_request))
            del self._tasks_by_request[(vm_id, incarnation, number)]
            sender = (vm_id, incarnation)
            known = self._evicted_number_by_sender.get(sender, 0)
            self._evicted_number_by_sender[sender] = max(known, number)
            self._evicted_number_by_sender.move_to_end(sender)
        while len(self._evicted_number_by_sender) > _MAX_SENDERS:
            self._evicted_number_by_sender.popitem(last=False)


async def _run(handle: Callable[[], Awaitable[ProposeReply]]) -> ProposeReply:
    return await handle()
