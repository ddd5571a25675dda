"""Registration of this package's services in the kernel."""

import random

from burdockdrum.endpoints import EndpointRegistry
from burdockdrum.kernel import Kernel
from burdockdrum.ports import Clock
from burdockdrum.routing.router import Router
from burdockdrum.settings import Settings
from burdockdrum.vms import VmDirectory


def add_services(kernel: Kernel) -> None:
    """Register the router."""
    kernel.add("router", _build_router)


def _build_router(kernel: Kernel) -> Router:
    return Router(
        clock=kernel.find("clock", Clock),
        rng=kernel.find("random", random.Random),
        endpoints=kernel.find("endpoints", EndpointRegistry),
        vms=kernel.find("vms", VmDirectory),
        policy=kernel.find("settings", Settings).policy,
    )
