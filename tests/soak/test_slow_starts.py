"""A short run of the soak of endpoints in slow start."""

from scripts.soak.slow_starts import SlowStartSoak
from tests.soak.cases import SoakCase

SEED = 13
SECONDS = 25


class SlowStartTest(SoakCase):
    """Endpoints that begin slow starts, and two entries in each region."""

    def test_slow_starts_are_kept_to_under_random_faults(self):
        # Guards against a flood at an endpoint whose slow start entries learn
        # late, or never, while processes come and go.
        soak = SlowStartSoak(SEED)
        result = self.run_soak(soak, None, seconds=SECONDS)
        self.assertGreater(result.counts_by_status.get(200, 0), 100)
        self.assertGreater(len(soak.list_busiest()), 3)
