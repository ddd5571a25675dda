"""Registration of this package's services in the kernel."""

from burdockdrum.endpoints.registry import EndpointRegistry
from burdockdrum.kernel import Kernel
from burdockdrum.ports import Clock
from burdockdrum.timeline import Timeline


def add_services(kernel: Kernel) -> None:
    """Register the registry of endpoints."""
    kernel.add("endpoints", _build_endpoints)


def _build_endpoints(kernel: Kernel) -> EndpointRegistry:
    return EndpointRegistry(
        clock=kernel.find("clock", Clock),
        timeline=kernel.find("timeline", Timeline),
    )
