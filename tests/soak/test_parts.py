"""Short runs of the soak of a prompt part that crashes endpoints."""

from scripts.soak.parts import PartSoak
from tests.soak.cases import SoakCase
from tests.soak.test_crashes import nothing_else
from tests.soak.test_crashes import restart_control
from tests.soak.test_crashes import restart_everything

SEED = 1


class CrashingPartTest(SoakCase):
    """Requests with a crashing part, at six entries of three regions."""

    def run_seed(self, faults, *, seconds):
        """Run processes under the faults; check what endpoints got."""
        result = self.run_soak(PartSoak(SEED), faults, seconds=seconds)
        self.assertGreater(result.counts_by_status.get(200, 0), 100)

    def test_part_is_rejected_and_its_neighbours_are_served(self):
        # Guards against a part that costs an endpoint each time it comes,
        # and against rejecting the part that sound requests share with it.
        self.run_seed(nothing_else, seconds=25)

    def test_restarted_control_vms_know_the_part(self):
        self.run_seed(restart_control, seconds=28)

    def test_restarted_deployment_knows_the_part(self):
        # Guards against a quarantine that ends when all processes stop.
        self.run_seed(restart_everything, seconds=32)

    def test_part_is_rejected_under_random_faults(self):
        self.run_seed(None, seconds=25)
