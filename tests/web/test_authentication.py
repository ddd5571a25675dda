"""Tests of authentication by bearer token."""

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
    """Clients' tokens are looked up by the proxy's caller finder."""

    def setUp(self):
        vm = VmSettings(id="a", region="r", data_centre="d")
        self.configuration = FakeConfiguration(teams=[make_team("t", "k")])
        self.authenticator = Authenticator(
            settings=Settings(vm=vm),
            configuration=self.configuration,
            callers=make_finder(self.configuration),
        )

    def refuse(self, token):
        """Return the code of the refusal for a token."""
        request = Request(
            "GET", b"/", [(b"authorization", b"Bearer " + token)]
        )
        with self.assertRaises(Refusal) as caught:
            self.authenticator.find_client(request)
        return caught.exception.code

    def test_unknown_token_is_retryable_while_configuration_is_stale(self):
        # A partitioned VM may not know a new client's token yet.
        self.assertIs(RefusalCode.UNAUTHENTICATED, self.refuse(b"new"))
        self.configuration.age = CERTAIN_SECONDS + 1
        self.assertIs(RefusalCode.CONFIGURATION_STALE, self.refuse(b"new"))

    def test_team_of_the_route_table_is_not_a_client(self):
        self.assertIs(RefusalCode.UNAUTHENTICATED, self.refuse(b"k"))
