"""Registers the services of this package in the kernel."""

import random

from burdockdrum.configuration import ConfigurationService
from burdockdrum.endpoints import EndpointRegistry
from burdockdrum.kernel import Kernel
from burdockdrum.leases import LeaseService
from burdockdrum.orders.budget import WeightLoadLimiter
from burdockdrum.orders.reconciler import Reconciler
from burdockdrum.orders.sender import HttpOrderSender
from burdockdrum.ports import Clock
from burdockdrum.ports import HttpClient
from burdockdrum.resources import ServiceSpec
from burdockdrum.settings import Settings
from burdockdrum.timeline import Timeline
from burdockdrum.vms import Drain
from burdockdrum.vms import VmDirectory


def add_services(kernel: Kernel) -> None:
    """Register the reconciler of endpoints."""
    kernel.add("orders", _build_orders)


def _build_orders(kernel: Kernel) -> Reconciler:
    clock = kernel.find("clock", Clock)
    vms = kernel.find("vms", VmDirectory)
    timeline = kernel.find("timeline", Timeline)
    leases = kernel.find("leases", LeaseService)
    configuration = kernel.find("configuration", ConfigurationService)
    settings = kernel.find("settings", Settings)
    data_centre = vms.identity.data_centre

    def count_data_centres() -> int:
        declared = len(configuration.current.data_centres_by_name)
        return max(declared, len(vms.summaries_by_data_centre))

    def read_services() -> dict[str, ServiceSpec]:
        return {
            name: spec
            for name, spec in configuration.current.services_by_name.items()
            if vms.identity.region in spec.regions
        }

    def may_acquire() -> bool:
        relay = vms.relay_of(data_centre)
        return relay is not None and relay.identity == vms.identity

    reconciler = Reconciler(
        data_centre=data_centre,
        clock=clock,
        rng=kernel.find("random", random.Random),
        timeline=timeline,
        leases=leases,
        sender=HttpOrderSender(
            http=kernel.find("http", HttpClient),
            leases=leases,
            lease_name=f"orders/{data_centre}",
            timeline=timeline,
        ),
        registry=kernel.find("endpoints", EndpointRegistry),
        limiter=WeightLoadLimiter(
            clock=clock, loads_per_minute=settings.orders.loads_a_minute
        ),
        read_services=read_services,
        count_data_centres=count_data_centres,
        may_acquire=may_acquire,
    )
    kernel.find("drain", Drain).add_hook(reconciler.drain)
    return reconciler
