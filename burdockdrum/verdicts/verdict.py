"""The verdict on a request: not run, may have run, ran."""

import enum


class Verdict(enum.Enum):
    """What is known about whether a request ran at an endpoint.

    ``NOT_RUN`` is a promise: no endpoint was sent a byte of the request and
    none will be. ``MAY_HAVE_RUN`` is the answer wherever that can't be
    proved. ``RAN`` means that an endpoint reported the end of the run.
    """

    NOT_RUN = "not run"
    MAY_HAVE_RUN = "may have run"
    RAN = "ran"


_WEIGHT = {Verdict.NOT_RUN: 0, Verdict.MAY_HAVE_RUN: 1, Verdict.RAN: 2}


def worst(first: Verdict, second: Verdict) -> Verdict:
    """Combine the verdicts of two attempts at one request.

    A refusal after several attempts may only say "not run" if none of them
    reached an endpoint, so the verdict that admits more wins.
    """
    return first if _WEIGHT[first] >= _WEIGHT[second] else second
