"""Short runs of the soaks of crowded endpoints and of paused entries."""

from burdockdrum.histories.streams import MIN_STREAMS
from scripts.soak.crowds import CrowdSoak
from scripts.soak.paused_entries import PausedEntrySoak
from tests.soak.cases import SoakCase

SEED = 1


class CrowdTest(SoakCase):
    """Six entries of three regions with one small endpoint each."""

    def test_rejected_requests_run_at_most_once(self):
        # Guards against a promise that a request has not run, or another run
        # of it, where a response was not to this request.
        soak = CrowdSoak(SEED)
        result = self.run_soak(soak, None, seconds=15)
        self.assertGreater(result.counts_by_status.get(200, 0), 100)
        rejected = [
            handling
            for group in soak.handled_by_id.values()
            for handling in group
            if handling.status == 503
        ]
        self.assertGreater(len(rejected), 50)


class PausedEntryTest(SoakCase):
    """Releases, at each of which one entry stands still."""

    def test_streams_keep_their_version_at_an_entry_that_paused(self):
        # Guards against an entry that takes the only version which it knew
        # before its pause for the one that began a stream.
        soak = PausedEntrySoak(SEED)
        self.run_soak(soak, None, seconds=25)
        number, _ = soak.streams.count_taken_up()
        self.assertGreaterEqual(number, MIN_STREAMS)
