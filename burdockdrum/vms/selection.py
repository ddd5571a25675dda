"""Selection of the entry VMs that a caller is given."""

from collections.abc import Container
import enum
import random

import msgspec

from burdockdrum.vms.directory import VmView

ENTRY_LIST_VALID_SECONDS = 5.0
# More than the entry VMs of any data centre; keeps a list below 4 KB.
MAX_NEAREST = 20
MAX_BACKUPS = 12
MAX_WEIGHT = 100
# Requests in flight at which a VM has half the weight of an idle one.
HALF_WEIGHT_REQUESTS = 32


class EntryChoice(msgspec.Struct, frozen=True, kw_only=True):
    """One entry VM; callers choose in proportion to ``weight``.

    An entry of weight 0 is a backup, for use if all others fail.
    """

    vm_id: str
    url: str
    region: str
    data_centre: str
    weight: int


class EntryList(msgspec.Struct, frozen=True, kw_only=True):
    """The entry VMs to use, and for how long."""

    entries: list[EntryChoice]
    valid_seconds: float


class _Distance(enum.IntEnum):
    OWN_DATA_CENTRE = 0
    OWN_REGION = 1
    PREFERRED = 2
    ELSEWHERE = 3


def select_entries(
    *,
    views: list[VmView],
    region: str,
    data_centre: str,
    rng: random.Random,
    preferred_regions: Container[str] = (),
) -> EntryList:
    """Choose entry VMs for a caller near a region and data centre.

    The healthy VMs at the nearest distance get weights by load; others are
    backups. The order is a weighted random sample (Efraimidis and Spirakis,
    2006), so callers that only use the first entry are spread by weight too.
    Draining VMs are excluded; suspected ones and those that reach no endpoint
    are backups. If the caller's
    own region has no entry, those of ``preferred_regions`` come first, as
    they may process its data.
    """

    def measure(view: VmView) -> _Distance:
        distance = _measure(view, region, data_centre)
        preferred = view.identity.region in preferred_regions
        if distance is _Distance.ELSEWHERE and preferred:
            return _Distance.PREFERRED
        return distance

    serving = [view for view in views if not view.draining]
    healthy = [
        view for view in serving if not view.suspected and not view.is_cut_off
    ]
    nearest = min(map(measure, healthy), default=None)
    near = [
        (view, _weigh(view)) for view in healthy if measure(view) == nearest
    ]
    near.sort(key=lambda pair: -(rng.random() ** (1 / pair[1])))
    near_ids = {view.identity.vm_id for view, _ in near}
    backups = [v for v in serving if v.identity.vm_id not in near_ids]
    rng.shuffle(backups)
    backups.sort(key=lambda v: (v.suspected, v.is_cut_off, measure(v)))
    chosen = near[:MAX_NEAREST] + [(v, 0) for v in backups[:MAX_BACKUPS]]
    return EntryList(
        entries=[_describe(view, weight) for view, weight in chosen],
        valid_seconds=ENTRY_LIST_VALID_SECONDS,
    )


def _measure(view: VmView, region: str, data_centre: str) -> _Distance:
    if view.identity.data_centre == data_centre:
        return _Distance.OWN_DATA_CENTRE
    if view.identity.region == region:
        return _Distance.OWN_REGION
    return _Distance.ELSEWHERE


def _weigh(view: VmView) -> int:
    load = 1 + view.in_flight / HALF_WEIGHT_REQUESTS
    return max(1, round(MAX_WEIGHT / load * _capacity_factor(view)))


def _capacity_factor(view: VmView) -> float:
    # The VMs of a data centre share its capacity, so the factor only differs
    # between data centres. A full one still gets callers, as it can forward.
    slots = sum(service.slots for service in view.services)
    room = sum(service.room for service in view.services)
    return 0.25 + 0.75 * min(1.0, room / slots) if slots else 0.25


def _describe(view: VmView, weight: int) -> EntryChoice:
    return EntryChoice(
        vm_id=view.identity.vm_id,
        url=view.identity.http_address,
        region=view.identity.region,
        data_centre=view.identity.data_centre,
        weight=weight,
    )
