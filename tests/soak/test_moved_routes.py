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
        await soak.restart_beside_a_move()


class MovedRouteTest(SoakCase):
    """Streams of two services, at three entries of three regions."""

    def test_streams_do_not_go_on_at_the_service_of_a_moved_route(self):
        # Guards against answers joined from two services after all entries
        # were killed.
        soak = MovedRouteSoak(SEED, entries=1)
        self.run_soak(soak, restart_beside_moves, seconds=20)
        taken_up = [
            attempt
            for tries in soak.streams.streams
            for attempt in tries
            if attempt.resumes is not None
        ]
        self.assertGreater(len(taken_up), MIN_STREAMS)
