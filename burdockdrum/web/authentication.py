"""Authentication of clients, operators and endpoints by bearer token."""

from blacksheep.messages import Request

from burdockdrum.callers import CallerFinder
from burdockdrum.configuration import ConfigurationService
from burdockdrum.resources import hash_token
from burdockdrum.settings import Settings
from burdockdrum.verdicts import Refusal
from burdockdrum.verdicts import RefusalCode
from burdockdrum.verdicts import Verdict
from burdockdrum.web.reading import header

CONFIGURATION_TIMEOUT_SECONDS = 3.0
_PREFIX = "bearer "


class Authenticator:
    """Identifies the owner of a request's bearer token."""

    def __init__(
        self,
        *,
        settings: Settings,
        configuration: ConfigurationService,
        callers: CallerFinder,
    ) -> None:
        """Create an authenticator that uses the current configuration."""
        self._operator_hashes = frozenset(settings.operators.token_hashes)
        self._endpoint_hashes = frozenset(settings.endpoints.token_hashes)
        self._configuration = configuration
        self._callers = callers

    async def identify_client(self, request: Request) -> str:
        """Return the client, after waiting for the first configuration.

        A VM that has just started knows no clients yet; rejecting a valid
        token as unknown would make its caller give up.

        :raises Refusal: if the token is missing or not a client's, or if
            this VM has not received its configuration in time
        """
        # A request without a token is rejected without waiting.
        self._read_token(request)
        if not await self._configuration.wait_until_known(
            CONFIGURATION_TIMEOUT_SECONDS
        ):
            raise Refusal(
                code=RefusalCode.CONFIGURATION_STALE,
                message="this VM has not received its configuration yet",
                verdict=Verdict.NOT_RUN,
                retry_after=1.0,
            )
        return self.find_client(request)

    def find_client(self, request: Request) -> str:
        """Return the id of the client whose token the request bears.

        :raises Refusal: if the token is missing or not a client's
        """
        caller = self._callers.find(self._read_token(request))
        if caller.client_id is None:
            # Teams of a route table may use only its routes.
            raise _make_refusal("the token does not belong to a client")
        return caller.client_id

    def find_operator(self, request: Request) -> str:
        """Return the name of the operator whose token the request bears.

        :raises Refusal: if the token is missing or not an operator's
        """
        token_hash = self._read_hash(request)
        current = self._configuration.current
        name = current.operators_by_token_hash.get(token_hash)
        if name is None and token_hash in self._operator_hashes:
            name = "bootstrap"
        if name is None:
            raise _make_refusal("the token does not belong to an operator")
        return name

    def check_endpoint(self, request: Request) -> None:
        """Check that the request bears an endpoint's token.

        :raises Refusal: if it doesn't
        """
        if self._read_hash(request) not in self._endpoint_hashes:
            raise _make_refusal("the token does not belong to an endpoint")

    def _read_hash(self, request: Request) -> str:
        return hash_token(self._read_token(request))

    def _read_token(self, request: Request) -> str:
        value = header(request, "authorization") or ""
        if not value.lower().startswith(_PREFIX):
            raise _make_refusal("send 'Authorization: Bearer TOKEN'")
        return value[len(_PREFIX) :].strip()


def _make_refusal(message: str) -> Refusal:
    return Refusal(
        code=RefusalCode.UNAUTHENTICATED,
        message=message,
        verdict=Verdict.NOT_RUN,
    )
