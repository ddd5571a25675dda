"""Register the services of this package in the kernel."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
import random
from urllib.parse import urlsplit

from burdockdrum.callers import CallerFinder
from burdockdrum.configuration import ConfigurationService
from burdockdrum.crashes import CrashLedger
from burdockdrum.fairness import FairShares
from burdockdrum.fairness import weight_of
from burdockdrum.holdings import PrefixCachePoller
from burdockdrum.holdings import PrefixCacheSharing
from burdockdrum.holdings import PrefixCacheTable
from burdockdrum.http1 import ConnectionPool
from burdockdrum.http1 import EndCause
from burdockdrum.http1 import Listener
from burdockdrum.kernel import Kernel
from burdockdrum.kernel import Supervisor
from burdockdrum.metrics import Metrics
from burdockdrum.overload import ProcessLimits
from burdockdrum.passthrough.brittle import ASK_TIMEOUT_SECONDS
from burdockdrum.passthrough.brittle import BrittleEndpoints
from burdockdrum.passthrough.brittle import PlaceBroker
from burdockdrum.passthrough.brittle import PlaceNotice
from burdockdrum.passthrough.brittle import PlaceReply
from burdockdrum.passthrough.brittle import PlaceRequest
from burdockdrum.passthrough.brittle import TenureNotice
from burdockdrum.passthrough.brittle import UsedPlacesNotice
from burdockdrum.passthrough.protocol import ActiveRoutes
from burdockdrum.passthrough.protocol import HeaderNames
from burdockdrum.passthrough.protocol import not_run_headers
from burdockdrum.passthrough.protocol import PayloadEncoder
from burdockdrum.passthrough.protocol import RequestReader
from burdockdrum.passthrough.protocol import ResponseClassifier
from burdockdrum.passthrough.protocol import ResponseSignals
from burdockdrum.passthrough.relaying import AttemptReporter
from burdockdrum.passthrough.relaying import AttemptRunner
from burdockdrum.passthrough.relaying import AttemptTimeouts
from burdockdrum.passthrough.relaying import connect_awake
from burdockdrum.passthrough.relaying import CONNECT_TIMEOUT_SECONDS
from burdockdrum.passthrough.relaying import CrashDetector
from burdockdrum.passthrough.relaying import CrashGuard
from burdockdrum.passthrough.relaying import EndpointProber
from burdockdrum.passthrough.relaying import HealthChecker
from burdockdrum.passthrough.relaying import PassThroughServer
from burdockdrum.passthrough.relaying import Relay
from burdockdrum.passthrough.relaying import RequestRunner
from burdockdrum.passthrough.relaying import RetryCharges
from burdockdrum.passthrough.relaying import StreamResumption
from burdockdrum.passthrough.relaying import TargetFinder
from burdockdrum.passthrough.selection import Fleet
from burdockdrum.passthrough.selection import TargetSelector
from burdockdrum.passthrough.selection import TeamShares
from burdockdrum.passthrough.state import AnnouncedSlowStarts
from burdockdrum.passthrough.state import DrainAnnouncements
from burdockdrum.passthrough.state import EndpointLimits
from burdockdrum.passthrough.state import LimitPermits
from burdockdrum.passthrough.state import LOAN_TIMEOUT_SECONDS
from burdockdrum.passthrough.state import PERMIT_SECONDS
from burdockdrum.passthrough.state import PermitReply
from burdockdrum.passthrough.state import PermitRequest
from burdockdrum.passthrough.state import RequestedBackoffs
from burdockdrum.passthrough.state import RetryBudget
from burdockdrum.passthrough.state import RetryLoanReply
from burdockdrum.passthrough.state import RetryLoanRequest
from burdockdrum.passthrough.state import RetryLoans
from burdockdrum.passthrough.waiting import LineDispatcher
from burdockdrum.passthrough.waiting import RequestHolder
from burdockdrum.passthrough.waiting import WaitingLine
from burdockdrum.pauses import PauseDetector
from burdockdrum.peers import Peers
from burdockdrum.peers import VmIdentity
from burdockdrum.ports import Clock
from burdockdrum.quotas import QuotaMeter
from burdockdrum.registrations import LoadSharing
from burdockdrum.registrations import RegistrationFollower
from burdockdrum.settings import Settings
from burdockdrum.streams import StreamOrigins
from burdockdrum.vms import Drain
from burdockdrum.vms import VmDirectory


def add_services(kernel: Kernel) -> None:
    """Register the active routes and, on an entry, the proxy."""
    kernel.add("routes_in_force", _build_active_routes)
    kernel.add("pauses", _build_pauses)
    if kernel.has("log"):
        return
    kernel.add("header_names", lambda kernel: HeaderNames())
    kernel.add("endpoint_limits", _build_endpoint_limits)
    kernel.add("limit_permits", _build_limit_permits)
    kernel.add("requested_backoffs", _build_backoffs)
    kernel.add("brittle_endpoints", _build_brittle_endpoints)
    kernel.add("place_broker", _build_place_broker)
    kernel.add("announced_slow_starts", _build_announced_slow_starts)
    kernel.add("response_signals", _build_response_signals)
    kernel.add("fleet", _build_fleet)
    kernel.add("endpoint_pool", _build_endpoint_pool)
    kernel.add("vm_pool", _build_vm_pool)
    kernel.add("fair_shares", _build_fair_shares)
    kernel.add("team_shares", _build_team_shares)
    kernel.add("placing", _build_target_selector)
    kernel.add("waiting_requests", _build_holder)
    kernel.add("retry_budget", _build_budget)
    kernel.add("retry_loans", _build_loans)
    kernel.add("retry_charges", _build_charges)
    kernel.add("crash_detector", _build_crash_detector)
    kernel.add("attempts", _build_attempt_runner)
    kernel.add("endpoint_prober", _build_prober)
    kernel.add("relay", _build_relay)
    kernel.add("passthrough", _build_server)


def _build_active_routes(kernel: Kernel) -> ActiveRoutes:
    configuration = kernel.find("configuration", ConfigurationService)
    return ActiveRoutes(
        clock=kernel.find("clock", Clock), configuration=configuration
    )


def _build_pauses(kernel: Kernel) -> PauseDetector:
    return PauseDetector(
        clock=kernel.find("clock", Clock),
        metrics=kernel.find("metrics", Metrics),
    )


def _build_endpoint_limits(kernel: Kernel) -> EndpointLimits:
    registrations = kernel.find("registrations", RegistrationFollower)
    limits = EndpointLimits(
        clock=kernel.find("clock", Clock),
        metrics=kernel.find("metrics", Metrics),
        read_endpoints=lambda: registrations.endpoints_by_id,
        read_share=registrations.limit_shares.share_of,
        report=registrations.report_limits,
    )
    registrations.read_limits = lambda: limits.announced_by_id
    return limits


def _build_backoffs(kernel: Kernel) -> RequestedBackoffs:
    registrations = kernel.find("registrations", RegistrationFollower)
    return RequestedBackoffs(
        clock=kernel.find("clock", Clock),
        metrics=kernel.find("metrics", Metrics),
        read_endpoints=lambda: registrations.endpoints_by_id,
    )


def _build_brittle_endpoints(kernel: Kernel) -> BrittleEndpoints:
    registrations = kernel.find("registrations", RegistrationFollower)
    return BrittleEndpoints(
        clock=kernel.find("clock", Clock),
        metrics=kernel.find("metrics", Metrics),
        read_endpoints=lambda: registrations.endpoints_by_id,
        read_limit=kernel.find("endpoint_limits", EndpointLimits).limit_of,
    )


def _build_place_broker(kernel: Kernel) -> PlaceBroker:
    registrations = kernel.find("registrations", RegistrationFollower)
    peers = kernel.find("peers", Peers)

    sharing = kernel.find("load_sharing", LoadSharing)

    def read_requests(endpoint_id: str) -> float:
        own = sharing.read_load().get(endpoint_id, [])
        others = sharing.load_of(endpoint_id).requests
        return others + sum(rank.requests for rank in own)

    async def ask(address: str, request: PlaceRequest) -> PlaceReply:
        return await peers.call(
            address, request, PlaceReply, timeout=ASK_TIMEOUT_SECONDS
        )

    broker = PlaceBroker(
        clock=kernel.find("clock", Clock),
        rng=kernel.find("random", random.Random),
        own=peers.identity,
        brittle=kernel.find("brittle_endpoints", BrittleEndpoints),
        entries=registrations.likely_entries,
        metrics=kernel.find("metrics", Metrics),
        read_endpoints=lambda: registrations.endpoints_by_id,
        read_requests=read_requests,
        ask=ask,
        send=peers.send,
    )
    peers.register(PlaceRequest, broker.handle_request)
    peers.register(PlaceNotice, broker.handle_notice)
    peers.register(TenureNotice, broker.handle_tenures)
    peers.register(UsedPlacesNotice, broker.handle_used_places)
    return broker


def _build_announced_slow_starts(kernel: Kernel) -> AnnouncedSlowStarts:
    return AnnouncedSlowStarts(clock=kernel.find("clock", Clock))


def _build_response_signals(kernel: Kernel) -> ResponseSignals:
    registrations = kernel.find("registrations", RegistrationFollower)
    return ResponseSignals(
        names=kernel.find("header_names", HeaderNames),
        limits=kernel.find("endpoint_limits", EndpointLimits),
        backoffs=kernel.find("requested_backoffs", RequestedBackoffs),
        drains=DrainAnnouncements(
            metrics=kernel.find("metrics", Metrics),
            record=registrations.record_drain,
        ),
        slow_starts=kernel.find("announced_slow_starts", AnnouncedSlowStarts),
    )


def _build_limit_permits(kernel: Kernel) -> LimitPermits:
    registrations = kernel.find("registrations", RegistrationFollower)
    peers = kernel.find("peers", Peers)

    async def ask(address: str, request: PermitRequest) -> PermitReply:
        return await peers.call(
            address, request, PermitReply, timeout=PERMIT_SECONDS
        )

    permits = LimitPermits(
        clock=kernel.find("clock", Clock),
        rng=kernel.find("random", random.Random),
        limits=kernel.find("endpoint_limits", EndpointLimits),
        metrics=kernel.find("metrics", Metrics),
        read_holders=registrations.limit_shares.other_holders,
        ask=ask,
    )
    peers.register(PermitRequest, permits.handle)
    return permits


def _build_fleet(kernel: Kernel) -> Fleet:
    registrations = kernel.find("registrations", RegistrationFollower)
    sharing = kernel.find("load_sharing", LoadSharing)
    settings = kernel.find("settings", Settings)
    topology = settings.topology
    fleet = Fleet(
        clock=kernel.find("clock", Clock),
        rng=kernel.find("random", random.Random),
        read_endpoints=lambda: registrations.endpoints_by_id,
        read_load=sharing.load_of,
        read_unreported_entries=lambda: sharing.unreported_entries,
        read_load_age=lambda: sharing.load_age_seconds,
        drop_endpoint=registrations.drop,
        prefix_cache_table=kernel.find("holdings", PrefixCacheTable),
        mark_shared=kernel.find(
            "holdings_sharing", PrefixCacheSharing
        ).mark_shared,
        read_region=topology.regions_by_data_centre.get,
        mechanisms=settings.policy.mechanisms,
        data_centre=kernel.find("identity", VmIdentity).data_centre,
        crossing_seconds=settings.policy.crossing_seconds_a_megabyte,
        limits=kernel.find("endpoint_limits", EndpointLimits),
        backoffs=kernel.find("requested_backoffs", RequestedBackoffs),
        slow_starts=kernel.find("announced_slow_starts", AnnouncedSlowStarts),
        is_chosen=registrations.limit_shares.is_chosen,
        may_have_place=kernel.find("place_broker", PlaceBroker).may_ask,
        pauses=kernel.find("pauses", PauseDetector),
        is_established=registrations.versions.is_established,
    )
    kernel.find("metrics", Metrics).gauges(
        "burdockdrum_endpoint_time_factor",
        "How many times as long as is typical an endpoint takes, by endpoint.",
        label="endpoint_id",
        read=fleet.engines.time_factors_by_id,
    )
    sharing.read_load = fleet.read_own_load
    sharing.pop_placed = fleet.prefix_cache_view.pop_notices
    sharing.receive_placed = fleet.prefix_cache_view.record_notices
    sharing.speed_news.pop_own = fleet.speeds.pop_news
    sharing.speed_news.read_all = fleet.speeds.read_all
    sharing.speed_news.receive = fleet.speeds.receive
    return fleet


def _build_endpoint_pool(kernel: Kernel) -> ConnectionPool:
    opened = kernel.find("metrics", Metrics).counter(
        "burdockdrum_endpoint_connections_total",
        "Connections opened to endpoints.",
    )
    names = kernel.find("header_names", HeaderNames)
    return ConnectionPool(id_header=names.request_id, on_open=opened.increment)


def _build_vm_pool(kernel: Kernel) -> ConnectionPool:
    names = kernel.find("header_names", HeaderNames)
    return ConnectionPool(id_header=names.request_id)


def _build_fair_shares(kernel: Kernel) -> FairShares:
    sharing = kernel.find("load_sharing", LoadSharing)
    callers = kernel.find("callers", CallerFinder)

    def read_weight(team: str) -> float | None:
        caller = callers.callers_by_team.get(team)
        limit = caller.limit if caller is not None else None
        return weight_of(limit) if limit is not None else None

    shares = FairShares(
        clock=kernel.find("clock", Clock),
        rng=kernel.find("random", random.Random),
        read_others_work=sharing.read_others_work,
        read_weight=read_weight,
    )
    sharing.read_team_work = shares.read_own_work
    return shares


def _build_team_shares(kernel: Kernel) -> TeamShares:
    return TeamShares(
        clock=kernel.find("clock", Clock),
        fleet=kernel.find("fleet", Fleet),
        shares=kernel.find("fair_shares", FairShares),
        mechanisms=kernel.find("settings", Settings).policy.mechanisms,
        metrics=kernel.find("metrics", Metrics),
    )


def _build_target_selector(kernel: Kernel) -> TargetSelector:
    identity = kernel.find("identity", VmIdentity)
    sharing = kernel.find("load_sharing", LoadSharing)
    configuration = kernel.find("configuration", ConfigurationService)
    directory = kernel.find("vms", VmDirectory)
    settings = kernel.find("settings", Settings)
    port = settings.passthrough.vms.rpartition(":")[2]

    def read_entries() -> Iterable[VmIdentity]:
        for view in directory.live_vms():
            is_usable = not view.draining and not view.is_cut_off
            if view.identity.http_address and is_usable:
                yield view.identity

    def hop_address(entry: VmIdentity) -> str:
        return f"{urlsplit(entry.http_address).hostname}:{port}"

    return TargetSelector(
        clock=kernel.find("clock", Clock),
        rng=kernel.find("random", random.Random),
        fleet=kernel.find("fleet", Fleet),
        region=identity.region,
        read_capacities=lambda: sharing.capacities,
        read_entries=read_entries,
        read_closed_data_centres=lambda: (
            configuration.current.evacuated_data_centres
        ),
        hop_address=hop_address,
        team_shares=kernel.find("team_shares", TeamShares),
        mechanisms=settings.policy.mechanisms,
        crossing_seconds=settings.policy.crossing_seconds_a_megabyte,
        vm_id=identity.vm_id,
    )


def _build_holder(kernel: Kernel) -> RequestHolder:
    fleet = kernel.find("fleet", Fleet)
    policy = kernel.find("settings", Settings).policy
    clock = kernel.find("clock", Clock)
    holder = RequestHolder(
        clock=clock,
        dispatcher=LineDispatcher(
            clock=clock,
            selector=kernel.find("placing", TargetSelector),
            line=WaitingLine(),
            read_endpoints_per_entry=fleet.endpoints_per_entry,
            mechanisms=policy.mechanisms,
            is_line_enabled=policy.waiting_line,
        ),
        check_drain=kernel.find("drain", Drain).check,
        metrics=kernel.find("metrics", Metrics),
    )
    fleet.on_capacity = holder.wake
    kernel.find("load_sharing", LoadSharing).on_loads = holder.wake_all
    return holder


def _build_budget(kernel: Kernel) -> RetryBudget:
    settings = kernel.find("settings", Settings).passthrough
    topology = kernel.find("settings", Settings).topology
    registrations = kernel.find("registrations", RegistrationFollower)
    regions = set(topology.regions_by_data_centre.values())
    return RetryBudget(
        clock=kernel.find("clock", Clock),
        metrics=kernel.find("metrics", Metrics),
        regions=max(1, len(regions)),
        shares=registrations.limit_shares,
        ratio=settings.retry_ratio,
        burst=settings.retry_burst,
        window=settings.retry_window_seconds,
    )


def _build_loans(kernel: Kernel) -> RetryLoans:
    identity = kernel.find("identity", VmIdentity)
    directory = kernel.find("vms", VmDirectory)
    peers = kernel.find("peers", Peers)

    def read_entries() -> list[VmIdentity]:
        return [
            view.identity
            for view in directory.live_vms()
            if view.identity.http_address
            and view.identity.vm_id != identity.vm_id
        ]

    async def ask(address: str, request: RetryLoanRequest) -> RetryLoanReply:
        return await peers.call(
            address, request, RetryLoanReply, timeout=LOAN_TIMEOUT_SECONDS
        )

    loans = RetryLoans(
        clock=kernel.find("clock", Clock),
        rng=kernel.find("random", random.Random),
        metrics=kernel.find("metrics", Metrics),
        budget=kernel.find("retry_budget", RetryBudget),
        region=identity.region,
        read_entries=read_entries,
        ask=ask,
    )
    peers.register(RetryLoanRequest, loans.handle)
    return loans


def _build_charges(kernel: Kernel) -> RetryCharges:
    return RetryCharges(
        budget=kernel.find("retry_budget", RetryBudget),
        borrow=kernel.find("retry_loans", RetryLoans).borrow,
    )


def _make_connect(kernel: Kernel) -> Callable[[str], Awaitable[None]]:
    """Return a function that opens a connection to an endpoint's address."""
    pool = kernel.find("endpoint_pool", ConnectionPool)
    pauses = kernel.find("pauses", PauseDetector)

    async def connect(address: str) -> None:
        connection = await connect_awake(
            lambda timeout: pool.open(address, timeout=timeout),
            CONNECT_TIMEOUT_SECONDS,
            pauses,
        )
        pool.release(address, connection, max_idle=1)

    return connect


def _build_crash_detector(kernel: Kernel) -> CrashDetector:
    registrations = kernel.find("registrations", RegistrationFollower)

    detector = CrashDetector(
        clock=kernel.find("clock", Clock),
        rng=kernel.find("random", random.Random),
        ledger=kernel.find("crash_ledger", CrashLedger),
        vm_id=kernel.find("identity", VmIdentity).vm_id,
        read_endpoints=lambda: registrations.endpoints_by_id,
        connect=_make_connect(kernel),
        metrics=kernel.find("metrics", Metrics),
    )
    registrations.restart_listeners.append(detector.record_replaced)
    detector.on_refused = kernel.find("fleet", Fleet).record_refused
    return detector


def _build_attempt_runner(kernel: Kernel) -> AttemptRunner:
    names = kernel.find("header_names", HeaderNames)
    retries = kernel.find("retry_charges", RetryCharges)
    runner = AttemptRunner(
        clock=kernel.find("clock", Clock),
        fleet=kernel.find("fleet", Fleet),
        endpoint_pool=kernel.find("endpoint_pool", ConnectionPool),
        vm_pool=kernel.find("vm_pool", ConnectionPool),
        payloads=PayloadEncoder(
            names=names,
            region=kernel.find("identity", VmIdentity).region,
        ),
        responses=ResponseClassifier(names=names),
        timeouts=AttemptTimeouts(
            fleet=kernel.find("fleet", Fleet),
            retries=retries,
            has_alternative=kernel.find(
                "placing", TargetSelector
            ).has_alternative,
            mechanisms=kernel.find("settings", Settings).policy.mechanisms,
            pauses=kernel.find("pauses", PauseDetector),
        ),
        pauses=kernel.find("pauses", PauseDetector),
        signals=kernel.find("response_signals", ResponseSignals),
        retries=retries,
        crashes=kernel.find("crash_detector", CrashDetector),
    )
    registrations = kernel.find("registrations", RegistrationFollower)
    registrations.restart_listeners.append(runner.abort_incarnation)
    return runner


def _build_prober(kernel: Kernel) -> EndpointProber:
    pool = kernel.find("endpoint_pool", ConnectionPool)
    registrations = kernel.find("registrations", RegistrationFollower)
    runner = kernel.find("attempts", AttemptRunner)
    routes = kernel.find("routes_in_force", ActiveRoutes)

    def read_health_path(service: str) -> str | None:
        index = routes.index
        backend = index.backends_by_name.get(service) if index else None
        return backend.health_path if backend is not None else None

    prober = EndpointProber(
        clock=kernel.find("clock", Clock),
        fleet=kernel.find("fleet", Fleet),
        read_endpoints=lambda: registrations.endpoints_by_id,
        connect=_make_connect(kernel),
        check_health=HealthChecker(
            pool=pool,
            read_path=read_health_path,
            observe=kernel.find(
                "response_signals", ResponseSignals
            ).observe_health,
            pauses=kernel.find("pauses", PauseDetector),
        ).check,
        on_unreachable=runner.give_up_silent,
        metrics=kernel.find("metrics", Metrics),
    )
    runner.on_unreachable = prober.record_unreachable
    directory = kernel.find("vms", VmDirectory)
    directory.read_cut_off = kernel.find("fleet", Fleet).reaches_none
    return prober


def _build_relay(kernel: Kernel) -> Relay:
    clock = kernel.find("clock", Clock)
    names = kernel.find("header_names", HeaderNames)
    configuration = kernel.find("configuration", ConfigurationService)
    routes = kernel.find("routes_in_force", ActiveRoutes)
    reader = RequestReader(
        clock=clock,
        rng=kernel.find("random", random.Random),
        names=names,
        read_index=lambda: routes.index,
        callers=kernel.find("callers", CallerFinder),
        meter=kernel.find("quota_meter", QuotaMeter),
    )
    resumption = StreamResumption(
        clock=clock,
        origins=kernel.find("stream_origins", StreamOrigins),
        reader=reader,
        metrics=kernel.find("metrics", Metrics),
    )
    runner = kernel.find("attempts", AttemptRunner)
    runner.on_stream = resumption.begin
    reporter = AttemptReporter(
        clock=clock, metrics=kernel.find("metrics", Metrics)
    )
    return Relay(
        clock=clock,
        names=names,
        reader=reader,
        runner=_build_request_runner(kernel, reporter),
        reporter=reporter,
        resumption=resumption,
        retries=kernel.find("retry_charges", RetryCharges),
        drain=kernel.find("drain", Drain),
        configuration=configuration,
        metrics=kernel.find("metrics", Metrics),
        meter=kernel.find("quota_meter", QuotaMeter),
        mechanisms=kernel.find("settings", Settings).policy.mechanisms,
    )


def _build_request_runner(
    kernel: Kernel, reporter: AttemptReporter
) -> RequestRunner:
    clock = kernel.find("clock", Clock)
    names = kernel.find("header_names", HeaderNames)
    selector = kernel.find("placing", TargetSelector)
    return RequestRunner(
        clock=clock,
        names=names,
        finder=TargetFinder(
            clock=clock,
            selector=selector,
            holder=kernel.find("waiting_requests", RequestHolder),
            permits=kernel.find("limit_permits", LimitPermits),
            places=kernel.find("place_broker", PlaceBroker),
        ),
        selector=selector,
        runner=kernel.find("attempts", AttemptRunner),
        responses=ResponseClassifier(names=names),
        retries=kernel.find("retry_charges", RetryCharges),
        crash_guard=CrashGuard(
            clock=clock,
            detector=kernel.find("crash_detector", CrashDetector),
            metrics=kernel.find("metrics", Metrics),
        ),
        reporter=reporter,
    )


def _build_server(kernel: Kernel) -> PassThroughServer:
    settings = kernel.find("settings", Settings).passthrough
    relay = kernel.find("relay", Relay)
    pauses = kernel.find("pauses", PauseDetector)
    routes = kernel.find("routes_in_force", ActiveRoutes)
    backoffs = kernel.find("requested_backoffs", RequestedBackoffs)
    names = kernel.find("header_names", HeaderNames)
    limits = kernel.find("process_limits", ProcessLimits)
    ended_total = kernel.find("metrics", Metrics).counter(
        "burdockdrum_ended_connections_total",
        "Connections of callers and of other entries that ended, by cause.",
    )

    def count_end(cause: EndCause) -> None:
        ended_total.increment(cause=cause.value)

    poller = kernel.find("holdings_listener", PrefixCachePoller)
    poller.read_backoff = backoffs.seconds_left
    return PassThroughServer(
        clock=kernel.find("clock", Clock),
        supervisor=kernel.find("supervisor", Supervisor),
        callers=Listener(
            address=settings.callers,
            handle=relay.serve_caller,
            read_limits=lambda: routes.limits,
            awake_seconds_since=pauses.awake_seconds_since,
            on_end=count_end,
            describe_refusal=lambda headers: not_run_headers(
                headers, names, to_vm=False
            ),
            process_limits=limits,
        ),
        vms=Listener(
            address=settings.vms,
            handle=relay.serve_vm,
            read_limits=lambda: routes.hop_limits,
            awake_seconds_since=pauses.awake_seconds_since,
            on_end=count_end,
            describe_refusal=lambda headers: not_run_headers(
                headers, names, to_vm=True
            ),
            process_limits=limits,
        ),
        pools=[
            kernel.find("endpoint_pool", ConnectionPool),
            kernel.find("vm_pool", ConnectionPool),
        ],
        fleet=kernel.find("fleet", Fleet),
        limits=kernel.find("endpoint_limits", EndpointLimits),
        backoffs=backoffs,
        places=kernel.find("place_broker", PlaceBroker),
        budget=kernel.find("retry_budget", RetryBudget),
        registrations=kernel.find("registrations", RegistrationFollower),
        drain=kernel.find("drain", Drain),
        holder=kernel.find("waiting_requests", RequestHolder),
        prober=kernel.find("endpoint_prober", EndpointProber),
        crashes=kernel.find("crash_detector", CrashDetector),
        stop_requests=relay.stop,
    )
