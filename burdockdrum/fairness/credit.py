"""Admission of a fraction of requests, evenly spaced and without chance."""


def spend_credit(credit: float, fraction: float) -> tuple[bool, float]:
    """Return whether to admit a request, and the credit that is left.

    Each request earns ``fraction`` and an admitted one costs 1, so that of
    any n consecutive requests ``n * fraction`` are admitted, give or take
    one. Time earns nothing: a team that sends nothing saves up nothing.

    :param credit: what earlier requests left, from 0 up to 1
    :param fraction: of the requests to admit, from 0 to 1
    """
    earned = credit + fraction
    if earned >= 1.0:
        return True, earned - 1.0
    return False, earned
