"""Recent runs of requests that were complete.

A request that crashes endpoints does so whenever it runs. One that has just
run as a whole was beside the cause: many copies of a poll are in flight when
all endpoints of a data centre lose power. So such a run outweighs the next
crash, as one after the crash does, and the crashes at the same moment as that
one. Any later crash counts unless the request has run as a whole in between.
"""

import collections
from dataclasses import dataclass
from dataclasses import replace

from burdockdrum.crashes.ledger import PART_CRASH_INTERVAL_SECONDS
from burdockdrum.crashes.ledger import RECORD_SECONDS

MAX_SOUND_RUNS = 4096


@dataclass(frozen=True, kw_only=True)
class _SoundRun:
    """When a request last ran, and the crash that this run outweighs."""

    completed_at: float
    outweighed_at: float | None = None


class SoundRuns:
    """When each of the latest requests last ran as a whole; bounded."""

    def __init__(self) -> None:
        """Start without runs."""
        # The least recent first.
        self._runs_by_fingerprint: collections.OrderedDict[str, _SoundRun] = (
            collections.OrderedDict()
        )

    def record(self, fingerprint: str, completed_at: float) -> None:
        """Record a complete run of a request.

        :param completed_at: on the monotonic clock
        """
        runs = self._runs_by_fingerprint
        runs[fingerprint] = _SoundRun(completed_at=completed_at)
        runs.move_to_end(fingerprint)
        if len(runs) > MAX_SOUND_RUNS:
            runs.popitem(last=False)

    def outweighs(self, fingerprint: str, crashed_at: float) -> bool:
        """Return whether a run outweighs a crash under the same request.

        :param crashed_at: on the monotonic clock
        """
        run = self._runs_by_fingerprint.get(fingerprint)
        if run is None or crashed_at - run.completed_at > RECORD_SECONDS:
            return False
        if run.outweighed_at is None:
            self._runs_by_fingerprint[fingerprint] = replace(
                run, outweighed_at=crashed_at
            )
            return True
        distance = abs(crashed_at - run.outweighed_at)
        return distance < PART_CRASH_INTERVAL_SECONDS
