"""The services that every VM has, whichever APIs it serves."""

from collections.abc import Callable
import random

from burdockdrum.kernel import Kernel
from burdockdrum.kernel import Supervisor
from burdockdrum.metrics import Metrics
from burdockdrum.overload import make_limits
from burdockdrum.peers import VmIdentity
from burdockdrum.ports import Clock
from burdockdrum.ports import Disk
from burdockdrum.ports import Mailbox
from burdockdrum.settings import Settings
from burdockdrum.timeline import Event
from burdockdrum.timeline import HybridClock
from burdockdrum.timeline import Timeline


def make_kernel(
    *,
    settings: Settings,
    identity: VmIdentity,
    mailbox: Mailbox,
    clock: Clock,
    rng: random.Random,
    disk: Disk | None = None,
    sink: Callable[[Event], None] | None = None,
) -> Kernel:
    """Return a kernel with the ports, metrics and timeline of a VM.

    :param disk: the data folder, on a control VM only
    :param sink: called with each event of the timeline
    """
    kernel = Kernel()
    kernel.provide("settings", settings)
    kernel.provide("identity", identity)
    kernel.provide("mailbox", mailbox)
    kernel.provide("random", rng)
    kernel.provide("clock", clock)
    metrics = Metrics()
    kernel.provide("metrics", metrics)
    kernel.provide("supervisor", Supervisor(clock=clock, metrics=metrics))
    limits = make_limits(
        memory_mb=settings.limits.memory_mb,
        descriptors=settings.limits.descriptors,
    )
    limits.add_metrics(metrics)
    kernel.provide("process_limits", limits)
    if disk is not None:
        kernel.provide("disk", disk)
    timeline = Timeline(
        process=identity.vm_id,
        incarnation=identity.incarnation,
        clock=HybridClock(clock=clock),
        sink=sink,
    )
    kernel.provide("timeline", timeline)
    return kernel
