"""Register the services of this package with the kernel."""

import random

from burdockdrum.claims.claims import ClaimService
from burdockdrum.claims.log import ClaimLog
from burdockdrum.claims.replica import ClaimReplica
from burdockdrum.configuration import ConfigurationService
from burdockdrum.kernel import Kernel
from burdockdrum.metrics import Metrics
from burdockdrum.peers import Peers
from burdockdrum.peers import VmIdentity
from burdockdrum.ports import Clock
from burdockdrum.ports import Disk
from burdockdrum.settings import Settings
from burdockdrum.timeline import Timeline
from burdockdrum.vms import VmDirectory


def add_services(kernel: Kernel) -> None:
    """Register the claim service."""
    kernel.add("claims", _build_claims)


def _build_claims(kernel: Kernel) -> ClaimService:
    settings = kernel.find("settings", Settings)
    # If the region has no claim replicas of its own, the control VMs of all
    # regions serve: safe, but unavailable in a minority partition.
    addresses_by_id = settings.claims.keepers or settings.control.members
    replica: ClaimReplica | None = None
    if settings.vm.id in addresses_by_id:
        replica = _build_replica(kernel, sorted(addresses_by_id))
    return ClaimService(
        peers=kernel.find("peers", Peers),
        clock=kernel.find("clock", Clock),
        rng=kernel.find("random", random.Random),
        timeline=kernel.find("timeline", Timeline),
        vms=kernel.find("vms", VmDirectory),
        configuration=kernel.find("configuration", ConfigurationService),
        replica=replica,
        addresses_by_id=addresses_by_id,
    )


def _build_replica(kernel: Kernel, replica_ids: list[str]) -> ClaimReplica:
    log: ClaimLog | None = None
    if kernel.has("disk"):
        # Disk is a protocol: an embedder's own class is not checked.
        log = ClaimLog(
            disk=kernel.find("disk", Disk), clock=kernel.find("clock", Clock)
        )
    replica = ClaimReplica(
        identity=kernel.find("identity", VmIdentity),
        clock=kernel.find("clock", Clock),
        timeline=kernel.find("timeline", Timeline),
        replica_ids=replica_ids,
        log=log,
    )
    kernel.find("metrics", Metrics).gauge(
        "burdockdrum_claims_disk_refuses",
        "1 while the disk of this claim replica refuses writes, else 0.",
        lambda: replica.disk_refusal is not None,
    )
    return replica
