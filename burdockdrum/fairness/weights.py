"""The weights of teams, by what the configuration grants them."""

from burdockdrum.resources import RateLimit


def weight_of(limit: RateLimit) -> float:
    """Return the weight of a team with a rate limit, in tokens a second.

    A limit in requests counts each as a request that declares no tokens.
    """
    match limit.unit:
        case "tokens":
            return limit.per_second
        case "requests":
            return limit.per_second * limit.plain_tokens
