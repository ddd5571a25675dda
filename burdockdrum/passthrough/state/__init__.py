"""State that an entry keeps of endpoints: engines, health, limits, load.

Nothing here reads a connection or chooses a target.
"""

from burdockdrum.passthrough.state.announced_drains import DrainAnnouncements
from burdockdrum.passthrough.state.backoff_gate import BackoffGate
from burdockdrum.passthrough.state.congestion_windows import CongestionWindows
from burdockdrum.passthrough.state.connections import equal_share
from burdockdrum.passthrough.state.connections import max_idle_connections
from burdockdrum.passthrough.state.connections import may_add_connection
from burdockdrum.passthrough.state.endpoint_limits import EndpointLimits
from burdockdrum.passthrough.state.endpoint_state import EndpointState
from burdockdrum.passthrough.state.endpoint_state import InFlightRequest
from burdockdrum.passthrough.state.endpoint_state import RatedEndpoint
from burdockdrum.passthrough.state.endpoint_state import TeamRequest
from burdockdrum.passthrough.state.engines import EngineEstimates
from burdockdrum.passthrough.state.estimate_errors import EstimateErrors
from burdockdrum.passthrough.state.health import EndpointHealth
from burdockdrum.passthrough.state.limit_permits import LimitPermits
from burdockdrum.passthrough.state.limit_permits import PERMIT_SECONDS
from burdockdrum.passthrough.state.limit_permits import PermitReply
from burdockdrum.passthrough.state.limit_permits import PermitRequest
from burdockdrum.passthrough.state.limit_permits import PermitResult
from burdockdrum.passthrough.state.limits import SlowStartGate
from burdockdrum.passthrough.state.prefix_cache import choose_prefix_endpoint
from burdockdrum.passthrough.state.prefix_cache import PrefixCacheView
from burdockdrum.passthrough.state.prefix_cache import PrefixHolder
from burdockdrum.passthrough.state.prefixes import MIN_FETCH_TOKENS
from burdockdrum.passthrough.state.prefixes import PrefixFetch
from burdockdrum.passthrough.state.prefixes import PrefixLocation
from burdockdrum.passthrough.state.prefixes import transfer_seconds
from burdockdrum.passthrough.state.prompts import parse_prompt
from burdockdrum.passthrough.state.prompts import Prompt
from burdockdrum.passthrough.state.prompts import PromptPart
from burdockdrum.passthrough.state.request_timings import RequestTimings
from burdockdrum.passthrough.state.requested_backoffs import RequestedBackoff
from burdockdrum.passthrough.state.requested_backoffs import RequestedBackoffs
from burdockdrum.passthrough.state.retry_budget import RetryBudget
from burdockdrum.passthrough.state.retry_budget import RetryGrant
from burdockdrum.passthrough.state.retry_loans import LOAN_TIMEOUT_SECONDS
from burdockdrum.passthrough.state.retry_loans import RetryLoanReply
from burdockdrum.passthrough.state.retry_loans import RetryLoanRequest
from burdockdrum.passthrough.state.retry_loans import RetryLoans
from burdockdrum.passthrough.state.slow_starts import AnnouncedSlowStarts
from burdockdrum.passthrough.state.wait_estimates import decode_risk_seconds
from burdockdrum.passthrough.state.wait_estimates import estimate_queue
from burdockdrum.passthrough.state.wait_estimates import ExpectedWait
from burdockdrum.passthrough.state.wait_estimates import memory_wait_seconds
from burdockdrum.passthrough.state.wait_estimates import preemption_seconds
from burdockdrum.passthrough.state.wait_estimates import RECENT_WINDOW_SECONDS

__all__ = [
    "AnnouncedSlowStarts",
    "BackoffGate",
    "choose_prefix_endpoint",
    "CongestionWindows",
    "decode_risk_seconds",
    "DrainAnnouncements",
    "EndpointHealth",
    "EndpointLimits",
    "EndpointState",
    "EngineEstimates",
    "equal_share",
    "estimate_queue",
    "EstimateErrors",
    "ExpectedWait",
    "InFlightRequest",
    "LimitPermits",
    "max_idle_connections",
    "LOAN_TIMEOUT_SECONDS",
    "may_add_connection",
    "MIN_FETCH_TOKENS",
    "parse_prompt",
    "PERMIT_SECONDS",
    "PermitReply",
    "PermitRequest",
    "PermitResult",
    "memory_wait_seconds",
    "preemption_seconds",
    "PrefixCacheView",
    "PrefixFetch",
    "PrefixHolder",
    "PrefixLocation",
    "Prompt",
    "PromptPart",
    "RatedEndpoint",
    "RECENT_WINDOW_SECONDS",
    "RequestedBackoff",
    "RequestedBackoffs",
    "RequestTimings",
    "RetryBudget",
    "RetryGrant",
    "RetryLoanReply",
    "RetryLoanRequest",
    "RetryLoans",
    "SlowStartGate",
    "TeamRequest",
    "transfer_seconds",
]
