"""Which entry VMs a caller is told to use."""

import random

import msgspec

from burdockdrum.vms.directory import VmView

VALID_SECONDS = 5.0
_OWN_DATA_CENTRE = 100
_OWN_REGION = 50
_ELSEWHERE = 10


class EntryChoice(msgspec.Struct, frozen=True, kw_only=True):
    """One entry VM; callers choose in proportion to ``weight``."""

    vm_id: str
    url: str
    region: str
    data_centre: str
    weight: int


class EntryList(msgspec.Struct, frozen=True, kw_only=True):
    """The entry VMs to use for so many seconds."""

    entries: list[EntryChoice]
    valid_seconds: float


def select_entries(
    *, views: list[VmView], region: str, data_centre: str, rng: random.Random
) -> EntryList:
    """Choose entry VMs for a caller near a region and data centre.

    The order is random among equals, so that callers who take the first
    spread over all.
    """
    entries = [
        EntryChoice(
            vm_id=view.identity.vm_id,
            url=view.identity.http_address,
            region=view.identity.region,
            data_centre=view.identity.data_centre,
            weight=_weigh(view, region, data_centre),
        )
        for view in views
        if not view.draining
    ]
    rng.shuffle(entries)
    entries.sort(key=lambda entry: -entry.weight)
    return EntryList(entries=entries, valid_seconds=VALID_SECONDS)


def _weigh(view: VmView, region: str, data_centre: str) -> int:
    if view.identity.data_centre == data_centre:
        return _OWN_DATA_CENTRE
    if view.identity.region == region:
        return _OWN_REGION
    return _ELSEWHERE
