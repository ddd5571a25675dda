"""Tests of whose token a request of the own interface bears."""

import unittest

from blacksheep.messages import Request

from burdockdrum.settings.model import Settings
from burdockdrum.settings.model import VmSettings
from burdockdrum.verdicts import Refusal
from burdockdrum.verdicts import RefusalCode
from burdockdrum.web.authentication import Authenticator
from tests.callers.fakes import CERTAIN_SECONDS
from tests.callers.fakes import FakeConfiguration
from tests.callers.fakes import make_finder
from tests.callers.fakes import make_team


class ClientTokenTest(unittest.TestCase):
    """Tokens are looked up where the pass-through looks them up."""

    def setUp(self):
        vm = VmSettings(id="a", region="r", data_centre="d")
        self.configuration = FakeConfiguration(teams=[make_team("t", "k")])
        self.authenticator = Authenticator(
            settings=Settings(vm=vm),
            configuration=self.configuration,
            callers=make_finder(self.configuration),
        )

    def refuse(self, token):
        """Return the code of the refusal that a token gets."""
        request = Request(
            "GET", b"/", [(b"authorization", b"Bearer " + token)]
        )
        with self.assertRaises(Refusal) as caught:
            self.authenticator.find_client(request)
        return caught.exception.code

    def test_no_refusal_for_good_by_old_knowledge(self):
        """A VM that was cut off refuses a new client for good."""
        self.assertIs(RefusalCode.UNAUTHENTICATED, self.refuse(b"new"))
        self.configuration.age = CERTAIN_SECONDS + 1
        self.assertIs(RefusalCode.CONFIGURATION_STALE, self.refuse(b"new"))

    def test_team_of_the_routes_is_no_client(self):
        self.assertIs(RefusalCode.UNAUTHENTICATED, self.refuse(b"k"))
