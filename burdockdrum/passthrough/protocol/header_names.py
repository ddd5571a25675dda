"""The names of the HTTP headers that the proxy reads and sets.

A deployment whose callers and endpoints use other names supplies its own
``HeaderNames``.
"""

from dataclasses import dataclass
from dataclasses import field
from urllib.parse import quote
from urllib.parse import unquote


@dataclass(frozen=True, kw_only=True)
class HeaderNames:
    """Configurable header names, in lower case.

    - ``request_id``: identifies a request; echoed in its response.
    - ``deadline``: how many milliseconds the caller waits.
    - ``provenance``: marks a response that an endpoint itself produced.
    - ``expected_endpoint``: the endpoint the request is meant for; any other
      endpoint refuses it with status 421.
    - ``not_run``: the endpoint guarantees that it did not run the request.
    - ``last_event``: the number of the last event the caller received.
    - ``resumes``: the id of the caller's request that brought the first event
      of the stream that it takes up.
    - ``token_counts``: prompt tokens and maximum output tokens.
    - ``length_hint``: the caller's estimate of the output tokens.
    - ``prompt_parts``: the prompt's parts in order, each as ``ID:TOKENS``.
    - ``model``: the model that the prompt is for.
    - ``urgency``: the priority in an engine; 0 is admitted first.
    - ``fetch_from``: the address of an endpoint that has a prefix of the
      prompt cached.
    - ``rate_limit``: the requests per second that the endpoint accepts from
      all entries together, announced in its responses.
    - ``brittle``: how many requests an endpoint can reject in a second for
      want of room without crashing, announced in its responses.
    - ``slow_start``: how many milliseconds of its slow start are left, in the
      health responses of an endpoint.
    - ``responder``: the id of the endpoint, in its health responses.
    - ``draining``: 1 in the responses of an endpoint that drains.
    - ``token``: authenticates the caller; never forwarded.
    - ``team``: the team that the token belongs to.
    - ``system_only``: headers that are dropped from callers' requests.
    """

    request_id: bytes = b"x-request-id"
    deadline: bytes = b"x-deadline-ms"
    provenance: bytes = b"x-endpoint"
    expected_endpoint: bytes = b"x-expected-endpoint"
    not_run: bytes = b"x-not-started"
    last_event: bytes = b"last-event-id"
    resumes: bytes = b"x-resumes"
    token_counts: bytes = b"x-tokens"
    length_hint: bytes = b"x-length-hint"
    prompt_parts: bytes = b"x-prompt-parts"
    model: bytes = b"x-model"
    urgency: bytes = b"x-urgency"
    fetch_from: bytes = b"x-fetch-from"
    rate_limit: bytes = b"x-rate-limit"
    brittle: bytes = b"x-brittle"
    slow_start: bytes = b"x-slow-start-ms"
    responder: bytes = b"x-endpoint-id"
    draining: bytes = b"x-draining"
    token: bytes = b"x-api-token"
    team: bytes = b"x-team"
    system_only: frozenset[bytes] = field(default_factory=frozenset)


# Headers between entries. The callers' listener drops them, so that a caller
# can't pose as an entry.
HOP_REGION = b"x-burdockdrum-from"
HOP_ATTEMPTS = b"x-burdockdrum-attempts"
# How the retry budget of the other entry counts a request: see ``HopCharge``.
HOP_CHARGE = b"x-burdockdrum-charge"
# The service that the first entry chose by the weights of the route.
HOP_SERVICE = b"x-burdockdrum-service"
# The team that the first entry authenticated.
HOP_TEAM = b"x-burdockdrum-team"
# The route with which the first entry read the request.
HOP_ROUTE = b"x-burdockdrum-route"
# The software version that began a stream: of a request, the only one that
# may go on with it; of a response, the one that writes it.
HOP_VERSION = b"x-burdockdrum-version"
VERDICT = b"x-verdict"
# How many attempts the other entry used.
HOP_USED_ATTEMPTS = b"x-burdockdrum-runs"
# On a refusal: an endpoint of the other region may have got the request.
HOP_REACHED = b"x-burdockdrum-reached"
# On a refusal: the request crashes endpoints, and no region should run it.
HOP_QUARANTINED = b"x-burdockdrum-quarantined"
# On a refusal: the other entry reaches no endpoint of the service.
HOP_CUT_OFF = b"x-burdockdrum-cut-off"
# For a request that may have run when its deadline passed.
TIMED_OUT_STATUS = 504
HOP_HEADERS = frozenset(
    {
        HOP_REGION,
        HOP_ATTEMPTS,
        HOP_CHARGE,
        HOP_SERVICE,
        HOP_TEAM,
        HOP_ROUTE,
        HOP_VERSION,
        HOP_USED_ATTEMPTS,
        HOP_REACHED,
        HOP_QUARANTINED,
        HOP_CUT_OFF,
        VERDICT,
    }
)


def encode_version(version: str) -> bytes:
    """Return a software version, which may be any text, for a header."""
    return quote(version).encode()


def decode_version(value: bytes) -> str:
    """Return the software version that ``encode_version`` encoded."""
    return unquote(value.decode("latin-1"))
