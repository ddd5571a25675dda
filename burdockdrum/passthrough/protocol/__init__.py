"""Requests and responses as they are read, classified and written.

Only the types and codecs; connections belong to ``relaying``.
"""

from burdockdrum.passthrough.protocol.active_routes import ActiveRoutes
from burdockdrum.passthrough.protocol.cut_causes import cause_of_refusal
from burdockdrum.passthrough.protocol.cut_causes import CutCause
from burdockdrum.passthrough.protocol.cut_causes import find_cut_cause
from burdockdrum.passthrough.protocol.cut_causes import ResponseTruncated
from burdockdrum.passthrough.protocol.events import InvalidEventStream
from burdockdrum.passthrough.protocol.events import ResumableEventSplitter
from burdockdrum.passthrough.protocol.header_names import encode_version
from burdockdrum.passthrough.protocol.header_names import HeaderNames
from burdockdrum.passthrough.protocol.header_names import HOP_CUT_OFF
from burdockdrum.passthrough.protocol.header_names import HOP_QUARANTINED
from burdockdrum.passthrough.protocol.header_names import HOP_REACHED
from burdockdrum.passthrough.protocol.header_names import HOP_USED_ATTEMPTS
from burdockdrum.passthrough.protocol.header_names import HOP_VERSION
from burdockdrum.passthrough.protocol.model import Delivered
from burdockdrum.passthrough.protocol.model import EndpointTarget
from burdockdrum.passthrough.protocol.model import ErrorResponse
from burdockdrum.passthrough.protocol.model import forwarded_attempts
from burdockdrum.passthrough.protocol.model import granted_runs
from burdockdrum.passthrough.protocol.model import has_tried_enough
from burdockdrum.passthrough.protocol.model import HopCharge
from burdockdrum.passthrough.protocol.model import Lost
from burdockdrum.passthrough.protocol.model import MAX_NOT_STARTED_ATTEMPTS
from burdockdrum.passthrough.protocol.model import must_return
from burdockdrum.passthrough.protocol.model import NotStarted
from burdockdrum.passthrough.protocol.model import Outcome
from burdockdrum.passthrough.protocol.model import ProxiedRequest
from burdockdrum.passthrough.protocol.model import RegionTarget
from burdockdrum.passthrough.protocol.model import RequestProgress
from burdockdrum.passthrough.protocol.model import Target
from burdockdrum.passthrough.protocol.model import Withdrawn
from burdockdrum.passthrough.protocol.payloads import PayloadEncoder
from burdockdrum.passthrough.protocol.refusal_responses import MAYBE_RUN_STATUS
from burdockdrum.passthrough.protocol.refusal_responses import not_run_headers
from burdockdrum.passthrough.protocol.refusal_responses import NOT_RUN_STATUSES
from burdockdrum.passthrough.protocol.refusal_responses import send_refusal
from burdockdrum.passthrough.protocol.refusal_responses import status_of
from burdockdrum.passthrough.protocol.request_reader import RequestReader
from burdockdrum.passthrough.protocol.response_signals import ResponseSignals
from burdockdrum.passthrough.protocol.responses import read_buffered
from burdockdrum.passthrough.protocol.responses import read_error_body
from burdockdrum.passthrough.protocol.responses import read_used_attempts
from burdockdrum.passthrough.protocol.responses import ResponseClassifier
from burdockdrum.passthrough.protocol.route_index import RouteIndex

__all__ = [
    "ActiveRoutes",
    "cause_of_refusal",
    "CutCause",
    "Delivered",
    "encode_version",
    "EndpointTarget",
    "ErrorResponse",
    "find_cut_cause",
    "forwarded_attempts",
    "granted_runs",
    "has_tried_enough",
    "HeaderNames",
    "HopCharge",
    "HOP_CUT_OFF",
    "HOP_QUARANTINED",
    "HOP_REACHED",
    "HOP_USED_ATTEMPTS",
    "HOP_VERSION",
    "InvalidEventStream",
    "Lost",
    "MAX_NOT_STARTED_ATTEMPTS",
    "MAYBE_RUN_STATUS",
    "must_return",
    "not_run_headers",
    "NOT_RUN_STATUSES",
    "NotStarted",
    "Outcome",
    "PayloadEncoder",
    "ProxiedRequest",
    "read_buffered",
    "read_error_body",
    "read_used_attempts",
    "RegionTarget",
    "RequestProgress",
    "RequestReader",
    "ResponseClassifier",
    "ResponseSignals",
    "ResponseTruncated",
    "ResumableEventSplitter",
    "RouteIndex",
    "send_refusal",
    "status_of",
    "Target",
    "Withdrawn",
]
