"""Assemble the services of a pass-through VM."""

import random

import burdockdrum.callers
import burdockdrum.configuration
import burdockdrum.crashes
import burdockdrum.endpoints
from burdockdrum.gateway.base import make_kernel
import burdockdrum.holdings
from burdockdrum.kernel import Kernel
from burdockdrum.logs import log_decision
import burdockdrum.passthrough
import burdockdrum.peers
from burdockdrum.peers import VmIdentity
from burdockdrum.ports import Clock
from burdockdrum.ports import Disk
from burdockdrum.ports import Mailbox
import burdockdrum.quotas
import burdockdrum.registrations
from burdockdrum.settings import Settings
import burdockdrum.streams
from burdockdrum.timeline import Event
import burdockdrum.vms

_PACKAGES = (
    burdockdrum.peers,
    burdockdrum.endpoints,
    burdockdrum.configuration,
    burdockdrum.callers,
    burdockdrum.vms,
    burdockdrum.quotas,
    burdockdrum.crashes,
    burdockdrum.registrations,
    burdockdrum.streams,
    burdockdrum.holdings,
    burdockdrum.passthrough,
)

# Fields of every log line; ``vm`` is the process that writes it.
_RESERVED_FIELDS = frozenset(
    {"at", "event", "level", "revision", "stamp", "vm"}
)


def assemble(
    *,
    settings: Settings,
    identity: VmIdentity,
    mailbox: Mailbox,
    clock: Clock,
    rng: random.Random,
    disk: Disk | None = None,
) -> Kernel:
    """Return the kernel of a control VM, or without a disk of an entry."""
    kernel = make_kernel(
        settings=settings,
        identity=identity,
        mailbox=mailbox,
        clock=clock,
        rng=rng,
        disk=disk,
        sink=_log_event,
    )
    for package in _PACKAGES:
        package.add_services(kernel)
    return kernel


def _log_event(event: Event) -> None:
    log_decision(
        event.name,
        revision=event.revision,
        **{
            f"about_{name}" if name in _RESERVED_FIELDS else name: value
            for name, value in event.details.items()
        },
    )
