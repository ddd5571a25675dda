"""Name the services of this package."""

import random

from burdockdrum.kernel import Kernel
from burdockdrum.leases.service import LeaseService
from burdockdrum.peers import Peers
from burdockdrum.ports import Clock
from burdockdrum.settings import Settings
from burdockdrum.timeline import Timeline


def add_services(kernel: Kernel) -> None:
    """Name the leases of this VM.

    Their keeper, on a control VM, is named by ``burdockdrum.configuration``,
    which has the agreed state.
    """
    kernel.add("leases", _build_leases)


def _build_leases(kernel: Kernel) -> LeaseService:
    members = kernel.find("settings", Settings).control.members
    return LeaseService(
        peers=kernel.find("peers", Peers),
        clock=kernel.find("clock", Clock),
        rng=kernel.find("random", random.Random),
        timeline=kernel.find("timeline", Timeline),
        read_control_addresses=lambda: members,
    )
