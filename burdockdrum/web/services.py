"""Register the services of this package."""

import random

from blacksheep import Application

from burdockdrum.callers import CallerFinder
from burdockdrum.claims import Claims
from burdockdrum.configuration import ConfigurationService
from burdockdrum.consensus import ReplicatedLog
from burdockdrum.endpoints import EndpointRegistry
from burdockdrum.kernel import Kernel
from burdockdrum.metrics import Metrics
from burdockdrum.peers import Seal
from burdockdrum.ports import Clock
from burdockdrum.quarantine import Quarantine
from burdockdrum.requests import RequestService
from burdockdrum.settings import Settings
from burdockdrum.timeline import Timeline
from burdockdrum.vms import Drain
from burdockdrum.vms import VmDirectory
from burdockdrum.web.application import build_application
from burdockdrum.web.authentication import Authenticator
from burdockdrum.web.caller_handlers import CallerHandlers
from burdockdrum.web.control_handlers import ControlHandlers
from burdockdrum.web.endpoint_handlers import EndpointHandlers
from burdockdrum.web.operator_handlers import OperatorHandlers
from burdockdrum.web.peer_handlers import PeerHandlers
from burdockdrum.web.quarantine_handlers import QuarantineHandlers


def add_services(kernel: Kernel) -> None:
    """Register the ASGI application."""
    kernel.add("application", _build_application)


def _build_application(kernel: Kernel) -> Application:
    authenticator = Authenticator(
        settings=kernel.find("settings", Settings),
        configuration=kernel.find("configuration", ConfigurationService),
        callers=kernel.find("callers", CallerFinder),
    )
    return build_application(
        callers=_build_callers(kernel, authenticator),
        endpoints=EndpointHandlers(
            settings=kernel.find("settings", Settings),
            authenticator=authenticator,
            endpoints=kernel.find("endpoints", EndpointRegistry),
            vms=kernel.find("vms", VmDirectory),
        ),
        operators=_build_operators(kernel, authenticator),
        control=_build_control(kernel, authenticator),
        quarantine=QuarantineHandlers(
            authenticator=authenticator,
            quarantine=kernel.find("quarantine", Quarantine),
        ),
        peers=PeerHandlers(
            settings=kernel.find("settings", Settings),
            seal=kernel.find("seal", Seal),
            clock=kernel.find("clock", Clock),
            requests=kernel.find("requests", RequestService),
        ),
        drain=kernel.find("drain", Drain),
    )


def _build_callers(
    kernel: Kernel, authenticator: Authenticator
) -> CallerHandlers:
    return CallerHandlers(
        settings=kernel.find("settings", Settings),
        clock=kernel.find("clock", Clock),
        rng=kernel.find("random", random.Random),
        authenticator=authenticator,
        configuration=kernel.find("configuration", ConfigurationService),
        requests=kernel.find("requests", RequestService),
        claims=kernel.find("claims", Claims),
        vms=kernel.find("vms", VmDirectory),
    )


def _build_control(
    kernel: Kernel, authenticator: Authenticator
) -> ControlHandlers:
    settings = kernel.find("settings", Settings)
    has_log = kernel.has("log")
    return ControlHandlers(
        authenticator=authenticator,
        log=kernel.find("log", ReplicatedLog) if has_log else None,
        control_ids=list(settings.control.members),
        body_limit=settings.limits.body_bytes,
    )


def _build_operators(
    kernel: Kernel, authenticator: Authenticator
) -> OperatorHandlers:
    return OperatorHandlers(
        settings=kernel.find("settings", Settings),
        authenticator=authenticator,
        configuration=kernel.find("configuration", ConfigurationService),
        endpoints=kernel.find("endpoints", EndpointRegistry),
        vms=kernel.find("vms", VmDirectory),
        timeline=kernel.find("timeline", Timeline),
        metrics=kernel.find("metrics", Metrics),
        begin_drain=kernel.find("drain", Drain).begin,
    )
