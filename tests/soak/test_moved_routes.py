"""Short runs of the soak of streams whose routes move."""

import asyncio

from burdockdrum.histories.streams import MIN_STREAMS
from scripts.soak.moved_routes import MovedRouteSoak
from tests.soak.cases import SoakCase

SEED = 1
SERVING_SECONDS = 2.0


async def restart_beside_moves(soak):
    """Kill all entries again and again, each time beside a move."""
    while True:
        await asyncio.sleep(SERVING_SECONDS)
        await soak.restart_beside_a_closed_path()
        await asyncio.sleep(SERVING_SECONDS)
        await soak.restart_beside_a_move()


async def restart_beside_releases(soak):
    """Kill all entries again and again, while versions come and go."""
    async with asyncio.TaskGroup() as group:
        group.create_task(soak.change_failures())
        while True:
            await asyncio.sleep(SERVING_SECONDS)
            await soak.restart(soak.deployment.entries)


class MovedRouteTest(SoakCase):
    """Streams of two services, at three entries of three regions."""

    def run_seed(self, faults):
        """Run processes under the faults; streams have to be taken up."""
        soak = MovedRouteSoak(SEED, entries=1)
        self.run_soak(soak, faults, seconds=20)
        taken_up = [
            attempt
            for tries in soak.streams.streams
            for attempt in tries
            if attempt.resumes is not None
        ]
        self.assertGreater(len(taken_up), MIN_STREAMS)

    def test_streams_do_not_go_on_at_the_service_of_a_moved_route(self):
        # Guards against answers joined from two services after all entries
        # were killed, also where the path had no route in between.
        self.run_seed(restart_beside_moves)

    def test_streams_keep_their_version_while_all_entries_are_killed(self):
        # Guards against answers joined from two versions of one service.
        self.run_seed(restart_beside_releases)
