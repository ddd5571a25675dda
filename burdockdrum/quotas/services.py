"""Registers the services of this package."""

import random

from burdockdrum.callers import CallerFinder
from burdockdrum.kernel import Kernel
from burdockdrum.metrics import Metrics
from burdockdrum.peers import Peers
from burdockdrum.peers import VmIdentity
from burdockdrum.ports import Clock
from burdockdrum.quotas.meter import QuotaMeter
from burdockdrum.quotas.sharing import UsageSharing
from burdockdrum.settings import Settings
from burdockdrum.vms import VmDirectory


def add_services(kernel: Kernel) -> None:
    """Register the services that meter usage, on an entry."""
    if kernel.has("log"):
        return
    kernel.add("use_sharing", _build_sharing)
    kernel.add("quota_meter", _build_meter)


def _build_sharing(kernel: Kernel) -> UsageSharing:
    directory = kernel.find("vms", VmDirectory)
    own = kernel.find("identity", VmIdentity)
    settings = kernel.find("settings", Settings)

    def read_entries() -> list[VmIdentity]:
        return [
            view.identity
            for view in directory.live_vms()
            if view.identity.http_address
            and view.identity.vm_id != own.vm_id
            and not view.draining
        ]

    return UsageSharing(
        peers=kernel.find("peers", Peers),
        clock=kernel.find("clock", Clock),
        read_entries=read_entries,
        read_draining=lambda: directory.draining,
        data_centres=settings.topology.regions_by_data_centre,
    )


def _build_meter(kernel: Kernel) -> QuotaMeter:
    return QuotaMeter(
        clock=kernel.find("clock", Clock),
        rng=kernel.find("random", random.Random),
        callers=kernel.find("callers", CallerFinder),
        sharing=kernel.find("use_sharing", UsageSharing),
        metrics=kernel.find("metrics", Metrics),
    )
