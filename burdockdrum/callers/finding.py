"""Authentication of a token against the current configuration.

A partitioned entry may miss new or revoked tokens, so the age of the
configuration decides whether a rejection is final or can be retried.
"""

from burdockdrum.callers.caller import Caller
from burdockdrum.callers.caller import caller_for_team
from burdockdrum.callers.caller import callers_by_token_hash
from burdockdrum.configuration import ConfigurationService
from burdockdrum.resources import Configuration
from burdockdrum.resources import hash_token
from burdockdrum.verdicts import Refusal
from burdockdrum.verdicts import RefusalCode
from burdockdrum.verdicts import Verdict

STALE_RETRY_SECONDS = 1.0


class CallerFinder:
    """Looks up callers in the current configuration.

    An unknown token is rejected with a final error only if the
    configuration is fresh; otherwise the token may be newer than it, and
    the caller may retry.
    """

    def __init__(
        self,
        *,
        configuration: ConfigurationService,
        certain_seconds: float | None = None,
        strict_seconds: float | None = None,
    ) -> None:
        """Create a finder that reads from a configuration service.

        :param certain_seconds: maximum age of the configuration at which an
            unknown token gets a final rejection; None means no maximum
        :param strict_seconds: maximum age at which tokens are accepted at
            all, as they may have been revoked since; None means no maximum
        """
        self._configuration = configuration
        self._certain_seconds = certain_seconds
        self._strict_seconds = strict_seconds
        self._indexed: Configuration | None = None
        self._by_token_hash: dict[str, Caller] = {}
        self._by_team: dict[str, Caller] = {}

    def find(self, token: str | bytes | None) -> Caller:
        """Return the caller that a token belongs to.

        :raises Refusal: "not run", if the token is missing or unknown, or
            the configuration is too old to tell
        """
        self._check_age()
        self._refresh_index()
        if token:
            caller = self._by_token_hash.get(hash_token(token))
            if caller is not None:
                return caller
        reason = "unknown token" if token else "missing token"
        if not self.has_fresh_configuration:
            raise stale_configuration_refusal(
                f"{reason}; the configuration may be stale"
            )
        raise Refusal(
            code=RefusalCode.UNAUTHENTICATED,
            message=reason,
            verdict=Verdict.NOT_RUN,
        )

    def find_team(self, name: str) -> Caller:
        """Return the caller of a team that another VM has authenticated.

        :raises Refusal: "not run", if the team is not in the configuration
        """
        self._refresh_index()
        caller = self._by_team.get(name)
        if caller is None:
            raise stale_configuration_refusal(
                f"unknown team {name!r}; the configuration may be stale"
            )
        return caller

    @property
    def callers_by_team(self) -> dict[str, Caller]:
        """Return the callers of the route table's teams by team name."""
        self._refresh_index()
        return self._by_team

    @property
    def has_fresh_configuration(self) -> bool:
        """Return whether the configuration is fresh enough to reject."""
        return self._is_fresh(self._certain_seconds)

    def _check_age(self) -> None:
        if not self._is_fresh(self._strict_seconds):
            raise stale_configuration_refusal(
                "the configuration is too old to accept tokens, which may "
                "have been revoked since"
            )

    def _is_fresh(self, max_age: float | None) -> bool:
        if max_age is None:
            return True
        age = self._configuration.age
        return age is not None and age <= max_age

    def _refresh_index(self) -> None:
        current = self._configuration.current
        if current is self._indexed:
            return
        table = current.route_table
        teams = (table.teams or []) if table is not None else []
        self._by_token_hash = callers_by_token_hash(current)
        self._by_team = {team.name: caller_for_team(team) for team in teams}
        self._indexed = current


def stale_configuration_refusal(message: str) -> Refusal:
    """Return a retryable refusal due to a possibly stale configuration."""
    return Refusal(
        code=RefusalCode.CONFIGURATION_STALE,
        message=message,
        verdict=Verdict.NOT_RUN,
        retry_after=STALE_RETRY_SECONDS,
    )
