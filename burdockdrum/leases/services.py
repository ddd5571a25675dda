"""Registers the services of this package in the kernel."""

from collections.abc import Mapping
import random
from typing import Protocol

from burdockdrum.kernel import Kernel
from burdockdrum.leases.service import LeaseService
from burdockdrum.peers import Peers
from burdockdrum.ports import Clock
from burdockdrum.timeline import Timeline


class ControlVmAddresses(Protocol):
    """Source of the addresses of the control VMs."""

    @property
    def control_addresses(self) -> Mapping[str, str]:
        """Return the control VMs' addresses by id."""
        ...


def add_services(kernel: Kernel) -> None:
    """Register the lease service of this VM.

    The lease manager of a control VM is registered by
    ``burdockdrum.configuration``, which has the replicated state.
    """
    kernel.add("leases", _build_leases)


def _build_leases(kernel: Kernel) -> LeaseService:
    source = kernel.find("configuration", ControlVmAddresses)
    return LeaseService(
        peers=kernel.find("peers", Peers),
        clock=kernel.find("clock", Clock),
        rng=kernel.find("random", random.Random),
        timeline=kernel.find("timeline", Timeline),
        read_control_addresses=lambda: source.control_addresses,
    )
