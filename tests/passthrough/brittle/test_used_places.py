"""Tests of the places that the requests of an entry use."""

import unittest

import msgspec

from burdockdrum.passthrough.brittle import PlaceEvent
from burdockdrum.passthrough.brittle.used_places import UsedPlaces
from tests.passthrough.fakes import ManualClock


class UsedPlacesTest(unittest.TestCase):
    """What a new holder is told."""

    def test_places_are_listed_until_their_requests_end(self):
        # Guards against places that a new holder counts for too long.
        clock = ManualClock()
        used = UsedPlaces(clock=clock)
        used.begin("p", "a", 5.0)
        used.begin("p", "b", 6.0)
        clock.now += 1.0
        used.record("p", "b", PlaceEvent.ACCEPTED)
        listed = [msgspec.to_builtins(place) for place in used.list_used("p")]
        self.assertEqual([["a", 4.0, False], ["b", 5.0, True]], listed)
        used.record("p", "a", PlaceEvent.LOST)
        used.record("p", "b", PlaceEvent.ENDED)
        used.record("p", "c", PlaceEvent.ENDED)
        self.assertEqual([], used.list_used("p"))
