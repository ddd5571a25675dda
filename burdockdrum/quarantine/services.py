"""Registers the services of this package in the kernel."""

from burdockdrum.kernel import Kernel
from burdockdrum.peers import Peers
from burdockdrum.ports import Clock
from burdockdrum.quarantine.quarantine import Quarantine
from burdockdrum.timeline import Timeline
from burdockdrum.vms import VmDirectory


def add_services(kernel: Kernel) -> None:
    """Register the quarantine."""
    kernel.add("quarantine", _build_quarantine)


def _build_quarantine(kernel: Kernel) -> Quarantine:
    return Quarantine(
        clock=kernel.find("clock", Clock),
        peers=kernel.find("peers", Peers),
        vms=kernel.find("vms", VmDirectory),
        timeline=kernel.find("timeline", Timeline),
    )
