"""How long two attempts of a request may be at work at the same time."""

import asyncio
from typing import Any

from burdockdrum.attempts.running_attempts import Attempt

# From when an attempt is sent until one of the two is ended. The rest of the
# 0.4 s that users allow covers the network and busy processes.
MAX_OVERLAP_SECONDS = 0.3
# How often an attempt that could not be reached is tried again.
REACH_INTERVAL_SECONDS = 0.2


async def exceeds_overlap(attempt: Attempt[Any, Any], seconds: float) -> bool:
    """Wait until an attempt has to end as others are at work as well.

    An attempt whose target can't be reached may be dead, and nothing ends it;
    it doesn't count until it can be reached again.

    :param seconds: how long both may be at work
    :returns: False if the attempt may go on, as the others have ended or it
        owns the response
    """
    others = attempt.list_others_at_work()
    searches = [asyncio.create_task(_reach(other)) for other in others]
    try:
        await asyncio.sleep(seconds)
        while not attempt.owns_response:
            at_work = attempt.list_others_at_work()
            running = [
                search
                for other, search in zip(others, searches, strict=True)
                if other in at_work
            ]
            if any(search.done() for search in running):
                return True
            if not running:
                return False
            await asyncio.wait(running, return_when=asyncio.FIRST_COMPLETED)
        return False
    finally:
        for search in searches:
            search.cancel()


async def _reach(attempt: Attempt[Any, Any]) -> None:
    """Wait until the target of an attempt can be reached."""
    while not await attempt.reach():
        await asyncio.sleep(REACH_INTERVAL_SECONDS)
