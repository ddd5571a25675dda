"""Name the services of a VM that passes requests through."""

import random

import burdockdrum.configuration
import burdockdrum.endpoints
from burdockdrum.kernel import Kernel
from burdockdrum.logs import log_decision
from burdockdrum.metrics import Metrics
import burdockdrum.passthrough
import burdockdrum.peers
from burdockdrum.peers import VmIdentity
from burdockdrum.ports import Clock
from burdockdrum.ports import Disk
from burdockdrum.ports import Mailbox
import burdockdrum.registrations
from burdockdrum.settings import Settings
from burdockdrum.timeline import Event
from burdockdrum.timeline import HybridClock
from burdockdrum.timeline import Timeline
import burdockdrum.vms

_PACKAGES = (
    burdockdrum.peers,
    burdockdrum.endpoints,
    burdockdrum.configuration,
    burdockdrum.vms,
    burdockdrum.registrations,
    burdockdrum.passthrough,
)

# Names that a log line has a meaning for: ``vm`` is the process that writes.
_TAKEN = frozenset({"at", "event", "level", "revision", "stamp", "vm"})


def assemble(
    *,
    settings: Settings,
    identity: VmIdentity,
    mailbox: Mailbox,
    clock: Clock,
    rng: random.Random,
    disk: Disk | None = None,
) -> Kernel:
    """Return a kernel: a control VM's with a disk, else an entry's."""
    kernel = Kernel()
    kernel.provide("settings", settings)
    kernel.provide("identity", identity)
    kernel.provide("mailbox", mailbox)
    kernel.provide("random", rng)
    kernel.provide("clock", clock)
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
        sink=_log_event,
    )


def _log_event(event: Event) -> None:
    log_decision(
        event.name,
        revision=event.revision,
        **{
            f"about_{name}" if name in _TAKEN else name: value
            for name, value in event.details.items()
        },
    )
