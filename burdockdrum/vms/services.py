"""Register the services of this package with the kernel."""

import random

from burdockdrum.configuration import ConfigurationService
from burdockdrum.consensus import ReplicatedLog
from burdockdrum.endpoints import EndpointRegistry
from burdockdrum.kernel import Kernel
from burdockdrum.peers import Peers
from burdockdrum.ports import Clock
from burdockdrum.settings import Settings
from burdockdrum.timeline import Timeline
from burdockdrum.vms.directory import VmDirectory
from burdockdrum.vms.drain import Drain
from burdockdrum.vms.endpoint_sharing import EndpointSharing
from burdockdrum.vms.summaries import CapacitySummaries


def add_services(kernel: Kernel) -> None:
    """Register the VM directory, summaries, endpoint sharing and drain."""
    kernel.add("summaries", _build_summaries)
    kernel.add("vms", _build_vms)
    kernel.add("endpoint_sharing", _build_sharing)
    kernel.add("drain", _build_drain)


def _build_summaries(kernel: Kernel) -> CapacitySummaries:
    return CapacitySummaries(
        clock=kernel.find("clock", Clock),
        configuration=kernel.find("configuration", ConfigurationService),
        endpoints=kernel.find("endpoints", EndpointRegistry),
    )


def _build_vms(kernel: Kernel) -> VmDirectory:
    configuration = kernel.find("configuration", ConfigurationService)
    summaries = kernel.find("summaries", CapacitySummaries)
    return VmDirectory(
        peers=kernel.find("peers", Peers),
        clock=kernel.find("clock", Clock),
        timeline=kernel.find("timeline", Timeline),
        rng=kernel.find("random", random.Random),
        join=kernel.find("settings", Settings).cluster.join,
        read_revision=lambda: configuration.current.revision,
        read_services=summaries.read,
    )


def _build_drain(kernel: Kernel) -> Drain:
    settings = kernel.find("settings", Settings).drain
    drain = Drain(
        clock=kernel.find("clock", Clock),
        timeline=kernel.find("timeline", Timeline),
        vms=kernel.find("vms", VmDirectory),
        limit_seconds=settings.limit_seconds,
        lists_seconds=settings.lists_seconds,
    )
    if kernel.has("log"):
        # A leader that stops without a transfer makes the control plane
        # unavailable until the next election.
        drain.add_hook(kernel.find("log", ReplicatedLog).transfer_leadership)
    return drain


def _build_sharing(kernel: Kernel) -> EndpointSharing:
    return EndpointSharing(
        clock=kernel.find("clock", Clock),
        group=kernel.find("vms", VmDirectory).group,
        registry=kernel.find("endpoints", EndpointRegistry),
    )
