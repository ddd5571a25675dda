"""Assemble the services of a VM.

Each package registers its own services with the kernel. An embedder or a
test can replace any of them before the kernel runs.
"""

import random

import burdockdrum.admission
import burdockdrum.callers
import burdockdrum.claims
import burdockdrum.configuration
import burdockdrum.endpoints
from burdockdrum.gateway.base import make_kernel
from burdockdrum.kernel import Kernel
import burdockdrum.leases
import burdockdrum.orders
import burdockdrum.peers
from burdockdrum.peers import VmIdentity
from burdockdrum.ports import Clock
from burdockdrum.ports import Disk
from burdockdrum.ports import HttpClient
from burdockdrum.ports import Mailbox
import burdockdrum.quarantine
import burdockdrum.requests
import burdockdrum.routing
from burdockdrum.settings import Settings
import burdockdrum.vms
import burdockdrum.web

_PACKAGES = (
    burdockdrum.peers,
    burdockdrum.endpoints,
    burdockdrum.configuration,
    burdockdrum.callers,
    burdockdrum.leases,
    burdockdrum.vms,
    burdockdrum.orders,
    burdockdrum.routing,
    burdockdrum.admission,
    burdockdrum.claims,
    burdockdrum.quarantine,
    burdockdrum.requests,
    burdockdrum.web,
)


def assemble(
    *,
    settings: Settings,
    identity: VmIdentity,
    mailbox: Mailbox,
    clock: Clock,
    http: HttpClient,
    rng: random.Random,
    disk: Disk | None = None,
) -> Kernel:
    """Return a kernel with all services of a VM registered.

    The caller supplies the ports: real ones in the daemon, fakes in tests.

    :param disk: the data folder, on a control VM only
    """
    kernel = make_kernel(
        settings=settings,
        identity=identity,
        mailbox=mailbox,
        clock=clock,
        rng=rng,
        disk=disk,
    )
    kernel.provide("http", http)
    for package in _PACKAGES:
        package.add_services(kernel)
    return kernel
