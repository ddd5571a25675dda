"""Name the services of this package."""

import random

from burdockdrum.configuration import ConfigurationService
from burdockdrum.endpoints import EndpointRegistry
from burdockdrum.kernel import Kernel
from burdockdrum.peers import Peers
from burdockdrum.ports import Clock
from burdockdrum.settings import Settings
from burdockdrum.timeline import Timeline
from burdockdrum.vms.directory import VmDirectory
from burdockdrum.vms.endpoint_sharing import EndpointSharing
from burdockdrum.vms.messages import ServiceSummary


def add_services(kernel: Kernel) -> None:
    """Name the directory of VMs and what tells it of endpoints."""
    kernel.add("vms", _build_vms)
    kernel.add("endpoint_sharing", _build_sharing)


def _build_vms(kernel: Kernel) -> VmDirectory:
    endpoints = kernel.find("endpoints", EndpointRegistry)
    configuration = kernel.find("configuration", ConfigurationService)
    return VmDirectory(
        peers=kernel.find("peers", Peers),
        clock=kernel.find("clock", Clock),
        timeline=kernel.find("timeline", Timeline),
        rng=kernel.find("random", random.Random),
        join=kernel.find("settings", Settings).cluster.join,
        read_revision=lambda: configuration.current.revision,
        read_services=lambda: _summarize(configuration, endpoints),
    )


def _build_sharing(kernel: Kernel) -> EndpointSharing:
    return EndpointSharing(
        clock=kernel.find("clock", Clock),
        group=kernel.find("vms", VmDirectory).group,
        registry=kernel.find("endpoints", EndpointRegistry),
    )


def _summarize(
    configuration: ConfigurationService, endpoints: EndpointRegistry
) -> list[ServiceSummary]:
    summaries = []
    for name in configuration.current.services_by_name:
        live = endpoints.candidates(name)
        slots = sum(endpoint.slots for endpoint in live)
        running = sum(endpoint.running for endpoint in live)
        if live:
            summaries.append(
                ServiceSummary(
                    service=name,
                    endpoints=len(live),
                    slots=slots,
                    room=max(0, slots - running),
                    queue_seconds=0.0,
                )
            )
    return summaries
