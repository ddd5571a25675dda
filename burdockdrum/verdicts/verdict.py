"""The verdict on whether a request ran at an endpoint."""

import enum


class Verdict(enum.Enum):
    """What is known about whether a request ran at an endpoint.

    ``NOT_RUN`` is a guarantee: no endpoint was sent a byte of the request,
    and none will be. ``MAY_HAVE_RUN`` applies wherever that can't be proved.
    ``RAN`` means that an endpoint reported completion.
    """

    NOT_RUN = "not run"
    MAY_HAVE_RUN = "may have run"
    RAN = "ran"


_PRECEDENCE = {Verdict.NOT_RUN: 0, Verdict.MAY_HAVE_RUN: 1, Verdict.RAN: 2}


def worst(first: Verdict, second: Verdict) -> Verdict:
    """Combine the verdicts of two attempts at one request.

    The result is "not run" only if neither attempt reached an endpoint.
    """
    return first if _PRECEDENCE[first] >= _PRECEDENCE[second] else second
