"""How an endpoint's maximum of connections is divided among entries.

An endpoint resets connections beyond its maximum, and a request on one of
them may have run. Each entry keeps to an equal share, and uses more only while
the reported loads leave most of the maximum free.
"""

from burdockdrum.resources import Backend

# Of the maximum. The rest is for calls other than requests, and for entries
# that disagree on their number.
USED_FRACTION = 0.9
# Beyond its equal share an entry adds connections up to this part of the
# maximum, as reported loads are up to a second old.
UNCONTENDED_FRACTION = 0.5
# The connections that requests need, as a multiple of the slots: those that
# run, and some that wait.
SLOTS_FACTOR = 1.5


def equal_share(backend: Backend, entries: int) -> int:
    """Return how many connections each entry may use, at least one.

    :param entries: the number of entries that send to the endpoint
    """
    total = backend.max_connections * USED_FRACTION
    return max(1, int(total / max(1, entries)))


def may_add_connection(
    backend: Backend, entries: int, own: int, others: float
) -> bool:
    """Return whether an entry may use another connection to an endpoint.

    :param own: the requests of this entry there
    :param others: the requests of the other entries, as reported
    """
    if own < equal_share(backend, entries):
        return True
    return own + others < backend.max_connections * UNCONTENDED_FRACTION


def max_idle_connections(backend: Backend, slots: int, entries: int) -> int:
    """Return how many idle connections an entry may keep to an endpoint.

    Those of all entries leave room for the requests at its slots.
    """
    total = backend.max_connections * USED_FRACTION - slots * SLOTS_FACTOR
    return max(0, int(total / max(1, entries)))
