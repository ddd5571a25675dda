"""Short runs of the soak of endpoints that crash if they must reject much."""

from scripts.soak.brittle import BrittleSoak
from tests.soak.cases import SoakCase

SEED = 1
SECONDS = 20
MIN_USED_FRACTION = 0.9


async def nothing_else(soak):
    """Let no other fault happen."""
    await soak.change_failures()


class BrittleEndpointTest(SoakCase):
    """Endpoints of three slots, and five entries in each region."""

    def run_brittle(self, faults=nothing_else, *, load, max_rejections):
        """Run processes; check how often endpoints crash."""
        soak = BrittleSoak(
            SEED, entries=5, load=load, max_rejections=max_rejections
        )
        result = self.run_soak(soak, faults, seconds=SECONDS)
        self.assertGreater(result.counts_by_status.get(200, 0), 100)
        return soak, result

    def test_endpoints_rarely_crash_in_overload(self):
        # Guards against entries that each keep to a bound of their own.
        soak, _ = self.run_brittle(load=1.1, max_rejections=3)
        self.assertGreaterEqual(soak.used_fraction, MIN_USED_FRACTION)

    def test_endpoints_that_tolerate_nothing_are_used(self):
        # Guards against a bound that allows each entry one rejection.
        self.run_brittle(load=0.4, max_rejections=0)

    def test_endpoints_rarely_crash_under_random_faults(self):
        self.run_brittle(None, load=1.1, max_rejections=3)
