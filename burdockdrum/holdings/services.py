"""Registers the services of this package with the kernel."""

import random

from burdockdrum.configuration import ConfigurationService
from burdockdrum.holdings.polling import PrefixCachePoller
from burdockdrum.holdings.shared_parts import SharedParts
from burdockdrum.holdings.sharing import PrefixCacheSharing
from burdockdrum.holdings.source import NullSource
from burdockdrum.holdings.source import PrefixCacheSource
from burdockdrum.holdings.table import PrefixCacheTable
from burdockdrum.kernel import Kernel
from burdockdrum.kernel import Supervisor
from burdockdrum.peers import Peers
from burdockdrum.peers import VmIdentity
from burdockdrum.ports import Clock
from burdockdrum.registrations import RegistrationFollower
from burdockdrum.settings import Settings
from burdockdrum.vms import VmDirectory


def add_services(kernel: Kernel) -> None:
    """Register the prefix cache services; only entries have them."""
    if kernel.has("log"):
        return
    kernel.add("holdings_source", lambda kernel: NullSource())
    kernel.add("shared_parts", lambda kernel: SharedParts())
    kernel.add("holdings", lambda kernel: PrefixCacheTable())
    kernel.add("holdings_sharing", _build_sharing)
    kernel.add("holdings_listener", _build_poller)


def _read_entries(kernel: Kernel) -> list[VmIdentity]:
    directory = kernel.find("vms", VmDirectory)
    own = kernel.find("identity", VmIdentity)
    return [
        view.identity
        for view in directory.live_vms()
        if view.identity.http_address
        and view.identity.vm_id != own.vm_id
        and not view.draining
    ]


def _build_sharing(kernel: Kernel) -> PrefixCacheSharing:
    own = kernel.find("identity", VmIdentity)
    topology = kernel.find("settings", Settings).topology
    same_region = {
        name
        for name, region in topology.regions_by_data_centre.items()
        if region == own.region
    }
    return PrefixCacheSharing(
        peers=kernel.find("peers", Peers),
        clock=kernel.find("clock", Clock),
        rng=kernel.find("random", random.Random),
        table=kernel.find("holdings", PrefixCacheTable),
        shared=kernel.find("shared_parts", SharedParts),
        region_data_centres=frozenset({own.data_centre, *same_region}),
        read_entries=lambda: _read_entries(kernel),
    )


def _build_poller(kernel: Kernel) -> PrefixCachePoller:
    own = kernel.find("identity", VmIdentity)
    configuration = kernel.find("configuration", ConfigurationService)
    registrations = kernel.find("registrations", RegistrationFollower)
    sharing = kernel.find("holdings_sharing", PrefixCacheSharing)

    def has_prefix_cache(service: str) -> bool:
        table = configuration.current.route_table
        backends = table.backends if table is not None else []
        return any(b.name == service and b.engine for b in backends)

    mechanisms = kernel.find("settings", Settings).policy.mechanisms
    source: PrefixCacheSource = NullSource()
    if mechanisms.endpoint_holdings:
        source = kernel.find("holdings_source", PrefixCacheSource)
    poller = PrefixCachePoller(
        own=own,
        clock=kernel.find("clock", Clock),
        source=source,
        table=kernel.find("holdings", PrefixCacheTable),
        supervisor=kernel.find("supervisor", Supervisor),
        read_endpoints=lambda: registrations.endpoints_by_id,
        read_entries=lambda: [
            entry
            for entry in _read_entries(kernel)
            if entry.region == own.region
        ],
        has_prefix_cache=has_prefix_cache,
        initial_sync_done=sharing.initial_sync_done,
    )
    sharing.read_polled = lambda: poller.endpoint_ids
    return poller
