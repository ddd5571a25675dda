"""A short run of the soak of evacuations."""

from scripts.soak.evacuations import EvacuationSoak
from tests.soak.cases import SoakCase

SEED = 2


class EvacuationTest(SoakCase):
    """Zones that are evacuated and taken back beside paused control VMs."""

    def test_last_acknowledged_order_is_in_force(self):
        # Guards against a control VM that wakes and repeats an old order.
        soak = EvacuationSoak(SEED)
        self.run_soak(soak, None, seconds=12)
        self.assertGreater(soak.orders, 10)
