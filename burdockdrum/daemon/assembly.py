"""Name the services of a VM and say how each is built.

Each factory finds by name what it needs; replacing one before the kernel
runs is how an embedder supplies its own ports or parts.
"""

import pathlib
import random
import socket

from burdockdrum.configuration import ConfigurationService
from burdockdrum.endpoints import EndpointRegistry
from burdockdrum.kernel import Kernel
from burdockdrum.metrics import Metrics
from burdockdrum.peers import Peers
from burdockdrum.peers import Seal
from burdockdrum.peers import VmIdentity
from burdockdrum.ports import Clock
from burdockdrum.ports import HttpClient
from burdockdrum.ports import Mailbox
from burdockdrum.requests import RequestService
from burdockdrum.resources import ResourceStore
from burdockdrum.settings import Settings
from burdockdrum.system_ports import PooledHttpClient
from burdockdrum.system_ports import SystemClock
from burdockdrum.timeline import HybridClock
from burdockdrum.timeline import Timeline
from burdockdrum.vms import ServiceSummary
from burdockdrum.vms import VmDirectory
from burdockdrum.web import Authenticator
from burdockdrum.web import build_application
from burdockdrum.web import CallerFace
from burdockdrum.web import EndpointFace
from burdockdrum.web import OperatorFace
from burdockdrum.web import PeerFace
from burdockdrum.web import WebServer


def assemble(
    *,
    settings: Settings,
    identity: VmIdentity,
    mailbox: Mailbox,
    listener: socket.socket,
    rng: random.Random,
) -> Kernel:
    """Return a kernel with every service of a VM named."""
    kernel = Kernel()
    kernel.provide("settings", settings)
    kernel.provide("identity", identity)
    kernel.provide("mailbox", mailbox)
    kernel.provide("listener", listener)
    kernel.provide("random", rng)
    kernel.provide("clock", SystemClock())
    kernel.provide("http", PooledHttpClient())
    kernel.provide("metrics", Metrics())
    kernel.add("seal", _build_seal)
    kernel.add("timeline", _build_timeline)
    kernel.add("peers", _build_peers)
    kernel.add("endpoints", _build_endpoints)
    kernel.add("configuration", _build_configuration)
    kernel.add("vms", _build_vms)
    kernel.add("requests", _build_requests)
    kernel.add("web", _build_web)
    return kernel


def _build_seal(kernel: Kernel) -> Seal:
    cluster = kernel.find("settings", Settings).cluster
    if cluster.secret_file is not None:
        return Seal(secret=pathlib.Path(cluster.secret_file).read_bytes())
    return Seal(secret=(cluster.secret or "").encode())


def _build_timeline(kernel: Kernel) -> Timeline:
    identity = kernel.find("identity", VmIdentity)
    return Timeline(
        process=identity.vm_id,
        incarnation=identity.incarnation,
        clock=HybridClock(clock=kernel.find("clock", Clock)),
    )


def _build_peers(kernel: Kernel) -> Peers:
    return Peers(
        identity=kernel.find("identity", VmIdentity),
        mailbox=kernel.find("mailbox", Mailbox),
        clock=kernel.find("clock", Clock),
        hybrid_clock=kernel.find("timeline", Timeline).clock,
        rng=kernel.find("random", random.Random),
        seal=kernel.find("seal", Seal),
        metrics=kernel.find("metrics", Metrics),
    )


def _build_endpoints(kernel: Kernel) -> EndpointRegistry:
    return EndpointRegistry(
        clock=kernel.find("clock", Clock),
        timeline=kernel.find("timeline", Timeline),
    )


def _build_configuration(kernel: Kernel) -> ConfigurationService:
    settings = kernel.find("settings", Settings)
    is_member = settings.vm.id in settings.control.members
    return ConfigurationService(
        peers=kernel.find("peers", Peers),
        clock=kernel.find("clock", Clock),
        timeline=kernel.find("timeline", Timeline),
        store=ResourceStore() if is_member else None,
        control_addresses=list(settings.control.members.values()),
    )


def _build_vms(kernel: Kernel) -> VmDirectory:
    endpoints = kernel.find("endpoints", EndpointRegistry)
    configuration = kernel.find("configuration", ConfigurationService)

    def read_services() -> list[ServiceSummary]:
        summaries = []
        for name in configuration.current.services_by_name:
            live = endpoints.candidates(name)
            slots = sum(endpoint.slots for endpoint in live)
            running = sum(endpoint.running for endpoint in live)
            if live:
                summaries.append(
                    ServiceSummary(
                        service=name,
                        endpoints=len(live),
                        slots=slots,
                        room=max(0, slots - running),
                        queue_seconds=0.0,
                    )
                )
        return summaries

    return VmDirectory(
        peers=kernel.find("peers", Peers),
        clock=kernel.find("clock", Clock),
        timeline=kernel.find("timeline", Timeline),
        join=kernel.find("settings", Settings).cluster.join,
        read_revision=lambda: configuration.current.revision,
        read_services=read_services,
    )


def _build_requests(kernel: Kernel) -> RequestService:
    return RequestService(
        clock=kernel.find("clock", Clock),
        rng=kernel.find("random", random.Random),
        http=kernel.find("http", HttpClient),
        seal=kernel.find("seal", Seal),
        timeline=kernel.find("timeline", Timeline),
        configuration=kernel.find("configuration", ConfigurationService),
        endpoints=kernel.find("endpoints", EndpointRegistry),
        vms=kernel.find("vms", VmDirectory),
    )


def _build_web(kernel: Kernel) -> WebServer:
    settings = kernel.find("settings", Settings)
    configuration = kernel.find("configuration", ConfigurationService)
    vms = kernel.find("vms", VmDirectory)
    authenticator = Authenticator(
        settings=settings, configuration=configuration
    )

    def begin_drain() -> None:
        vms.draining = True

    application = build_application(
        callers=CallerFace(
            settings=settings,
            clock=kernel.find("clock", Clock),
            rng=kernel.find("random", random.Random),
            authenticator=authenticator,
            configuration=configuration,
            requests=kernel.find("requests", RequestService),
            vms=vms,
        ),
        endpoints=EndpointFace(
            settings=settings,
            authenticator=authenticator,
            endpoints=kernel.find("endpoints", EndpointRegistry),
        ),
        operators=OperatorFace(
            settings=settings,
            authenticator=authenticator,
            configuration=configuration,
            endpoints=kernel.find("endpoints", EndpointRegistry),
            vms=vms,
            timeline=kernel.find("timeline", Timeline),
            metrics=kernel.find("metrics", Metrics),
            begin_drain=begin_drain,
        ),
        peers=PeerFace(
            settings=settings,
            seal=kernel.find("seal", Seal),
            clock=kernel.find("clock", Clock),
            requests=kernel.find("requests", RequestService),
        ),
    )
    tls = settings.listen.tls
    return WebServer(
        application=application,
        listener=kernel.find("listener", socket.socket),
        certificate_file=tls.certificate_file if tls else None,
        key_file=tls.key_file if tls else None,
    )
