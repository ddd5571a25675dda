"""Find the caller that a token belongs to."""

from burdockdrum.callers.caller import Caller
from burdockdrum.callers.caller import callers_by_token_hash
from burdockdrum.callers.caller import of_team
from burdockdrum.configuration import ConfigurationService
from burdockdrum.resources import Configuration
from burdockdrum.resources import hash_token
from burdockdrum.verdicts import Refusal
from burdockdrum.verdicts import RefusalCode
from burdockdrum.verdicts import Verdict

STALE_RETRY_SECONDS = 1.0


class CallerFinder:
    """Look callers up in the configuration in force.

    A refusal for good is given only while this VM is sure of what is in
    force: otherwise the token may be one that it has not heard of yet.
    """

    def __init__(
        self,
        *,
        configuration: ConfigurationService,
        certain_seconds: float | None = None,
        strict_seconds: float | None = None,
    ) -> None:
        """Create a finder over a configuration service.

        :param certain_seconds: how old what is known may be for a refusal
            for good; None does not ask
        :param strict_seconds: beyond this age no token is believed, as it
            may have been taken away since; None always believes
        """
        self._configuration = configuration
        self._certain_seconds = certain_seconds
        self._strict_seconds = strict_seconds
        self._indexed: Configuration | None = None
        self._by_token_hash: dict[str, Caller] = {}
        self._by_team: dict[str, Caller] = {}

    def find(self, token: str | bytes | None) -> Caller:
        """Return whose token it is.

        :raises Refusal: "not run", if it is nobody's, or may be somebody's
        """
        self._check_age()
        self._index()
        if token:
            caller = self._by_token_hash.get(hash_token(token))
            if caller is not None:
                return caller
        reason = "the token is no client's" if token else "there is no token"
        if not self.is_certain:
            raise refuse_unsure(f"{reason} here, which may be out of date")
        raise Refusal(
            code=RefusalCode.UNAUTHENTICATED,
            message=reason,
            verdict=Verdict.NOT_RUN,
        )

    def find_team(self, name: str) -> Caller:
        """Return a team that another VM has found by a token.

        :raises Refusal: "not run", if this VM does not know the team
        """
        self._index()
        caller = self._by_team.get(name)
        if caller is None:
            raise refuse_unsure(f"team {name!r} is not known")
        return caller

    @property
    def callers_by_team(self) -> dict[str, Caller]:
        """Return the teams of the route table by name."""
        self._index()
        return self._by_team

    @property
    def is_certain(self) -> bool:
        """Say whether what is known is new enough to refuse for good."""
        return self._is_within(self._certain_seconds)

    def _check_age(self) -> None:
        if not self._is_within(self._strict_seconds):
            raise refuse_unsure(
                "tokens may have been taken away since the configuration "
                "was last known to be the newest"
            )

    def _is_within(self, seconds: float | None) -> bool:
        if seconds is None:
            return True
        age = self._configuration.age
        return age is not None and age <= seconds

    def _index(self) -> None:
        current = self._configuration.current
        if current is self._indexed:
            return
        table = current.route_table
        teams = (table.teams or []) if table is not None else []
        self._by_token_hash = callers_by_token_hash(current)
        self._by_team = {team.name: of_team(team) for team in teams}
        self._indexed = current


def refuse_unsure(message: str) -> Refusal:
    """Return the refusal of a VM that may know too little."""
    return Refusal(
        code=RefusalCode.CONFIGURATION_STALE,
        message=message,
        verdict=Verdict.NOT_RUN,
        retry_after=STALE_RETRY_SECONDS,
    )
