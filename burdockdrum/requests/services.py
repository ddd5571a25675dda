"""Registration of this package's services in the kernel."""

from burdockdrum.admission import AdmissionControl
from burdockdrum.claims import ClaimService
from burdockdrum.configuration import ConfigurationService
from burdockdrum.kernel import Kernel
from burdockdrum.metrics import Metrics
from burdockdrum.peers import PayloadAuthenticator
from burdockdrum.peers import VmIdentity
from burdockdrum.ports import Clock
from burdockdrum.ports import HttpClient
from burdockdrum.quarantine import Quarantine
from burdockdrum.requests.budget import RetryBudget
from burdockdrum.requests.exchange_services import ExchangeServices
from burdockdrum.requests.request_metrics import RequestMetrics
from burdockdrum.requests.service import RequestService
from burdockdrum.requests.upstreams import IdleTimeouts
from burdockdrum.requests.upstreams import UpstreamOpener
from burdockdrum.routing import Router
from burdockdrum.settings import Settings
from burdockdrum.timeline import Timeline
from burdockdrum.vms import Drain


def add_services(kernel: Kernel) -> None:
    """Register the request service."""
    kernel.add("requests", _build_requests)


def _build_requests(kernel: Kernel) -> RequestService:
    identity = kernel.find("identity", VmIdentity)
    attempts = kernel.find("settings", Settings).attempts
    clock = kernel.find("clock", Clock)
    opener = UpstreamOpener(
        http=kernel.find("http", HttpClient),
        clock=clock,
        authenticator=kernel.find("seal", PayloadAuthenticator),
        data_centre=identity.data_centre,
        timeouts=IdleTimeouts(
            first_token=attempts.first_token_seconds,
            between_tokens=attempts.between_tokens_seconds,
        ),
    )
    services = ExchangeServices(
        clock=clock,
        timeline=kernel.find("timeline", Timeline),
        configuration=kernel.find("configuration", ConfigurationService),
        admission=kernel.find("admission", AdmissionControl),
        router=kernel.find("router", Router),
        opener=opener,
        budget=RetryBudget(),
        quarantine=kernel.find("quarantine", Quarantine),
        identity=identity,
        metrics=RequestMetrics(metrics=kernel.find("metrics", Metrics)),
    )
    return RequestService(
        services=services,
        claims=kernel.find("claims", ClaimService),
        drain=kernel.find("drain", Drain),
    )
