"""Which suspects are quarantined, given the crashes under each.

A rival of a suspect is another one under which several endpoints crashed. A
request is quarantined unless a rival ran on the same endpoint each time: then
they are told apart by running them apart. A part of a prompt is in any case,
but together with its rivals only if they ran each time.
"""

import collections
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Mapping

from burdockdrum.crashes.records import is_part

# Crashes under a suspect after which it is not run again.
MAX_CRASHES = 3
# A request with so many is quarantined though rivals ran beside it each time.
MAX_CONTESTED_CRASHES = 5
# So many of them no other quarantined suspect may explain. One could be a
# crash of another cause under a suspect that ran beside a crashing one.
MIN_UNEXPLAINED_CRASHES = 2
# Crashes under a suspect that may explain those of others. Each crash makes a
# suspect of whatever ran there, so that one says little.
MIN_RIVAL_CRASHES = 2

EndpointsByFingerprint = Mapping[str, set[str]]


def find_quarantined(
    counts_by_rival: Mapping[str, int],
    endpoints_by_fingerprint: EndpointsByFingerprint,
    count_crashes: Callable[[str, Collection[str]], int],
) -> dict[str, frozenset[str]]:
    """Return the suspects to reject, each with its rivals if contested.

    Those with most crashes come first: they explain the crashes of what ran
    beside them. A request comes before the parts of its prompt.

    :param counts_by_rival: the crashes that count against each suspect that
        may be the rival of others
    :param endpoints_by_fingerprint: the endpoints that crashed under each
    :param count_crashes: returns how many crashes of some endpoints count
        against a suspect
    """
    crashes_by_rival = {
        rival: endpoints_by_fingerprint[rival] for rival in counts_by_rival
    }
    candidates = [
        fingerprint
        for fingerprint, count in counts_by_rival.items()
        if count >= MAX_CRASHES
    ]
    if not candidates:
        return {}
    candidates.sort(
        key=lambda fingerprint: (
            -len(endpoints_by_fingerprint[fingerprint]),
            is_part(fingerprint),
            fingerprint,
        )
    )
    quarantined: dict[str, frozenset[str]] = {}
    explained: set[str] = set()
    numbers = _count_rivals(crashes_by_rival, explained)
    for fingerprint in candidates:
        left = endpoints_by_fingerprint[fingerprint] - explained
        count = count_crashes(fingerprint, left)
        if count < MIN_UNEXPLAINED_CRASHES:
            continue
        # The suspect itself is counted as well.
        beside = numbers[is_part(fingerprint)]
        is_contested = all(beside[endpoint_id] > 1 for endpoint_id in left)
        rivals: frozenset[str] = frozenset()
        if is_contested and is_part(fingerprint):
            rivals = _list_rivals(crashes_by_rival, fingerprint, left)
        elif is_contested and count < MAX_CONTESTED_CRASHES:
            continue
        quarantined[fingerprint] = rivals
        explained |= left
        numbers = _count_rivals(crashes_by_rival, explained)
    return quarantined


def _list_rivals(
    crashes_by_rival: EndpointsByFingerprint,
    fingerprint: str,
    endpoint_ids: set[str],
) -> frozenset[str]:
    """Return the other parts under which some endpoints crashed."""
    return frozenset(
        other
        for other, crashed in crashes_by_rival.items()
        if other != fingerprint
        and is_part(other)
        and not endpoint_ids.isdisjoint(crashed)
    )


def _count_rivals(
    crashes_by_rival: EndpointsByFingerprint, explained: set[str]
) -> dict[bool, collections.Counter[str]]:
    """Return how many rivals ran on each endpoint when it crashed.

    :param explained: endpoints that quarantined suspects crashed
    :returns: the numbers of parts of prompts by True, of requests by False
    """
    numbers: dict[bool, collections.Counter[str]] = {
        True: collections.Counter(),
        False: collections.Counter(),
    }
    for fingerprint, crashed in crashes_by_rival.items():
        left = crashed - explained
        if len(left) >= MIN_RIVAL_CRASHES:
            numbers[is_part(fingerprint)].update(left)
    return numbers
