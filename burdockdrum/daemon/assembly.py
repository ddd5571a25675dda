"""Name the services of a VM.

Each package names its own; a factory finds by name what it needs. Replacing
one before the kernel runs is how an embedder or a test supplies its own
ports or parts.
"""

import random

import burdockdrum.admission
import burdockdrum.claims
import burdockdrum.configuration
import burdockdrum.endpoints
from burdockdrum.kernel import Kernel
import burdockdrum.leases
from burdockdrum.metrics import Metrics
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
from burdockdrum.timeline import HybridClock
from burdockdrum.timeline import Timeline
import burdockdrum.vms
import burdockdrum.web

_PACKAGES = (
    burdockdrum.peers,
    burdockdrum.endpoints,
    burdockdrum.configuration,
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
    """Return a kernel with every service of a VM named.

    The ports come from the caller: real ones in the daemon, fakes in tests.

    :param disk: the data folder, on a control VM only
    """
    kernel = Kernel()
    kernel.provide("settings", settings)
    kernel.provide("identity", identity)
    kernel.provide("mailbox", mailbox)
    kernel.provide("random", rng)
    kernel.provide("clock", clock)
    kernel.provide("http", http)
    kernel.provide("metrics", Metrics())
    if disk is not None:
        kernel.provide("disk", disk)
    kernel.add("timeline", _build_timeline)
    for package in _PACKAGES:
        package.add_services(kernel)
    return kernel


def _build_timeline(kernel: Kernel) -> Timeline:
    identity = kernel.find("identity", VmIdentity)
    return Timeline(
        process=identity.vm_id,
        incarnation=identity.incarnation,
        clock=HybridClock(clock=kernel.find("clock", Clock)),
    )
