"""The services that all exchanges of an entry VM use."""

from dataclasses import dataclass

from burdockdrum.admission import AdmissionControl
from burdockdrum.configuration import ConfigurationService
from burdockdrum.peers import VmIdentity
from burdockdrum.ports import Clock
from burdockdrum.quarantine import Quarantine
from burdockdrum.requests.budget import RetryBudget
from burdockdrum.requests.request_metrics import RequestMetrics
from burdockdrum.requests.upstreams import UpstreamOpener
from burdockdrum.routing import Router
from burdockdrum.timeline import Timeline


@dataclass(frozen=True, kw_only=True)
class ExchangeServices:
    """The services that all exchanges of an entry VM use."""

    clock: Clock
    timeline: Timeline
    configuration: ConfigurationService
    admission: AdmissionControl
    router: Router
    opener: UpstreamOpener
    budget: RetryBudget
    quarantine: Quarantine
    identity: VmIdentity
    metrics: RequestMetrics
