"""Name the services of this package."""

import random

from burdockdrum.claims.claims import Claims
from burdockdrum.claims.keeper import Keeper
from burdockdrum.claims.log import ClaimLog
from burdockdrum.configuration import ConfigurationService
from burdockdrum.kernel import Kernel
from burdockdrum.peers import Peers
from burdockdrum.peers import VmIdentity
from burdockdrum.ports import Clock
from burdockdrum.ports import Disk
from burdockdrum.settings import Settings
from burdockdrum.timeline import Timeline
from burdockdrum.vms import VmDirectory


def add_services(kernel: Kernel) -> None:
    """Name the claims."""
    kernel.add("claims", _build_claims)


def _build_claims(kernel: Kernel) -> Claims:
    settings = kernel.find("settings", Settings)
    # Without keepers of the region's own, the control VMs of all regions
    # keep its claims: safe, but not on the smaller side of a cut.
    keepers = settings.claims.keepers or settings.control.members
    keeper: Keeper | None = None
    if settings.vm.id in keepers:
        keeper = _build_keeper(kernel, sorted(keepers))
    return Claims(
        peers=kernel.find("peers", Peers),
        clock=kernel.find("clock", Clock),
        rng=kernel.find("random", random.Random),
        timeline=kernel.find("timeline", Timeline),
        vms=kernel.find("vms", VmDirectory),
        configuration=kernel.find("configuration", ConfigurationService),
        keeper=keeper,
        addresses_by_id=keepers,
    )


def _build_keeper(kernel: Kernel, keepers: list[str]) -> Keeper:
    log: ClaimLog | None = None
    if kernel.has("disk"):
        # Disk is a protocol: the embedder's own are not checked.
        log = ClaimLog(disk=kernel.find("disk", Disk))
    return Keeper(
        identity=kernel.find("identity", VmIdentity),
        clock=kernel.find("clock", Clock),
        timeline=kernel.find("timeline", Timeline),
        keepers=keepers,
        log=log,
    )
