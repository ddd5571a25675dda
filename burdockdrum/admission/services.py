"""Registers the services of this package."""

import random

from burdockdrum.admission.admission import AdmissionControl
from burdockdrum.admission.quotas import QuotaEnforcer
from burdockdrum.configuration import ConfigurationService
from burdockdrum.kernel import Kernel
from burdockdrum.peers import Peers
from burdockdrum.ports import Clock
from burdockdrum.routing import Router
from burdockdrum.settings import Settings
from burdockdrum.vms import Summaries
from burdockdrum.vms import VmDirectory


def add_services(kernel: Kernel) -> None:
    """Register the admission control and the quotas."""
    kernel.add("quotas", _build_quotas)
    kernel.add("admission", _build_admission)


def _build_quotas(kernel: Kernel) -> QuotaEnforcer:
    return QuotaEnforcer(
        clock=kernel.find("clock", Clock),
        rng=kernel.find("random", random.Random),
        configuration=kernel.find("configuration", ConfigurationService),
        peers=kernel.find("peers", Peers),
        vms=kernel.find("vms", VmDirectory),
    )


def _build_admission(kernel: Kernel) -> AdmissionControl:
    router = kernel.find("router", Router)
    admission = AdmissionControl(
        clock=kernel.find("clock", Clock),
        configuration=kernel.find("configuration", ConfigurationService),
        router=router,
        policy=kernel.find("settings", Settings).policy,
        quotas=kernel.find("quotas", QuotaEnforcer),
    )
    summaries = kernel.find("summaries", Summaries)
    summaries.read_room = router.free_capacity
    summaries.read_queue_seconds = admission.queue_seconds
    return admission
