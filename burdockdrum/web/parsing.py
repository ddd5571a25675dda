"""Parse a caller's HTTP request into an inbound request."""

from collections.abc import Mapping
from dataclasses import dataclass
import fnmatch
import hashlib
import math
from typing import Any

from blacksheep.messages import Request
import msgspec

from burdockdrum.decoding import decode_json
from burdockdrum.decoding import InvalidData
from burdockdrum.ports import Clock
from burdockdrum.requests import InboundRequest
from burdockdrum.requests import RequestKind
from burdockdrum.resources.specs import ClientSpec
from burdockdrum.resources.specs import PriorityClassSpec
from burdockdrum.resources.specs import ServiceSpec
from burdockdrum.settings import Settings
from burdockdrum.verdicts import Refusal
from burdockdrum.verdicts import RefusalCode
from burdockdrum.verdicts import Verdict
from burdockdrum.web.reading import bad_request
from burdockdrum.web.reading import header

DEADLINE_HEADER = "x-deadline-seconds"
PRIORITY_HEADER = "x-priority-class"
UNREPEATABLE_HEADER = "x-unrepeatable"
IDEMPOTENCY_HEADER = "idempotency-key"
MAX_KEY_LENGTH = 255
# Headers that are forwarded to plain services.
FORWARDED_REQUEST_HEADERS = (
    "accept",
    "accept-language",
    "if-match",
    "if-none-match",
    "if-modified-since",
    "content-encoding",
)
DEFAULT_MAX_TOKENS = 256
PREFIX_BLOCK_BYTES = 512
MAX_PREFIX_BLOCKS = 64
# An estimate for English text.
_BYTES_PER_TOKEN = 4


class ChatMessage(msgspec.Struct, frozen=True):
    """A message of a chat; other fields are forwarded without parsing."""

    role: str
    content: Any = ""


class CompletionBody(msgspec.Struct, frozen=True, kw_only=True):
    """The fields of a completion request that routing needs.

    Other fields are forwarded to the engine without parsing.
    """

    model: str
    messages: list[ChatMessage] | None = None
    prompt: str | list[str] | None = None
    stream: bool = False
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    adapter: str | None = None


@dataclass(frozen=True, kw_only=True)
class CallerHeaders:
    """The headers that a caller may set on any request."""

    deadline_seconds: float
    priority_class: str | None
    unrepeatable: bool
    idempotency_key: str | None


@dataclass(frozen=True, kw_only=True)
class PriorityClasses:
    """The priority classes, and a client that may use some of them."""

    client: ClientSpec
    specs_by_name: Mapping[str, PriorityClassSpec]

    def find(self, name: str | None) -> PriorityClassSpec | None:
        """Return the class that a request names, or the client's default.

        :raises Refusal: if there is no class of that name, or the client
            may not use it
        """
        effective = name or self.client.priority_class
        spec = self.specs_by_name.get(effective) if effective else None
        if name is None:
            return spec
        if spec is None:
            raise bad_request(
                f"{PRIORITY_HEADER}: there is no priority class {name!r}"
            )
        allowed = {self.client.priority_class, *self.client.priority_classes}
        if name not in allowed:
            raise Refusal(
                code=RefusalCode.FORBIDDEN,
                message=f"{PRIORITY_HEADER}: the client may not use the "
                f"priority class {name!r}",
                verdict=Verdict.NOT_RUN,
            )
        return spec


def parse_headers(
    request: Request,
    settings: Settings,
    classes: PriorityClasses,
    *,
    always_unrepeatable: bool = False,
) -> CallerHeaders:
    """Parse the deadline, priority class and idempotency headers.

    :param always_unrepeatable: whether the path is configured as
        unrepeatable
    :raises Refusal: naming the invalid header
    """
    key = header(request, IDEMPOTENCY_HEADER)
    if key is not None and not _is_valid_key(key):
        raise bad_request(
            f"{IDEMPOTENCY_HEADER} must have 1 to {MAX_KEY_LENGTH} printable "
            "ASCII characters"
        )
    unrepeatable = _parse_unrepeatable(request) or always_unrepeatable
    priority_class = header(request, PRIORITY_HEADER)
    spec = classes.find(priority_class)
    default = settings.limits.default_deadline_seconds
    if spec is not None:
        default = min(
            spec.deadline_seconds, settings.limits.max_deadline_seconds
        )
    if unrepeatable and key is None:
        raise bad_request(
            "an unrepeatable request needs an Idempotency-Key, so that a "
            "retry can't run it twice"
        )
    return CallerHeaders(
        deadline_seconds=_parse_deadline(request, settings, default),
        priority_class=priority_class,
        unrepeatable=unrepeatable,
        idempotency_key=key,
    )


def parse_completion(
    *,
    request: Request,
    request_id: str,
    client_id: str,
    kind: RequestKind,
    body: bytes,
    settings: Settings,
    classes: PriorityClasses,
    clock: Clock,
) -> InboundRequest:
    """Parse a chat or text completion.

    :raises Refusal: naming the invalid field
    """
    try:
        parsed = decode_json(body, CompletionBody)
    except InvalidData as error:
        raise bad_request(f"the body is invalid: {error}") from None
    prompt = _extract_prompt(parsed, kind)
    max_tokens = parsed.max_completion_tokens
    if max_tokens is None:
        max_tokens = parsed.max_tokens
    if max_tokens is not None and max_tokens < 1:
        raise bad_request("max_tokens must be at least 1")
    headers = parse_headers(request, settings, classes)
    now = clock.monotonic()
    return InboundRequest(
        request_id=request_id,
        client_id=client_id,
        service=parsed.model,
        kind=kind,
        method="POST",
        path=request.url.path.decode(),
        body=body,
        content_type="application/json",
        stream=parsed.stream,
        received_at=now,
        deadline=now + headers.deadline_seconds,
        priority_class=headers.priority_class,
        unrepeatable=headers.unrepeatable,
        idempotency_key=headers.idempotency_key,
        adapter=parsed.adapter,
        prompt_tokens=len(prompt) // _BYTES_PER_TOKEN + 1,
        max_tokens=max_tokens or DEFAULT_MAX_TOKENS,
        prefix_hashes=hash_prefixes(prompt),
        fingerprint=compute_fingerprint(
            b"\0".join((client_id.encode(), parsed.model.encode(), prompt))
        ),
    )


def make_plain_request(
    request: Request,
    *,
    request_id: str,
    client_id: str,
    service: str,
    rest: str,
    body: bytes,
    headers: CallerHeaders,
    now: float,
) -> InboundRequest:
    """Return a request to a plain service, to be forwarded unchanged."""
    search = request.url.query
    target = "/" + rest + ("?" + search.decode() if search else "")
    texts = (client_id, service, request.method, target)
    content = [text.encode() for text in texts]
    return InboundRequest(
        request_id=request_id,
        client_id=client_id,
        service=service,
        kind=RequestKind.PLAIN,
        method=request.method,
        path=target,
        body=body,
        content_type=header(request, "content-type")
        or "application/octet-stream",
        stream=False,
        received_at=now,
        deadline=now + headers.deadline_seconds,
        priority_class=headers.priority_class,
        unrepeatable=headers.unrepeatable,
        idempotency_key=headers.idempotency_key,
        fingerprint=compute_fingerprint(b"\0".join((*content, body))),
        headers=tuple(
            (name, value)
            for name in FORWARDED_REQUEST_HEADERS
            if (value := header(request, name)) is not None
        ),
    )


def is_unrepeatable_path(spec: ServiceSpec, method: str, path: str) -> bool:
    """Return whether a request matches ``unrepeatable_paths``.

    In a pattern ``*`` matches any characters; GET and HEAD never match.
    """
    if method in ("GET", "HEAD"):
        return False
    return any(
        fnmatch.fnmatchcase(path, pattern)
        for pattern in spec.unrepeatable_paths
    )


def hash_prefixes(prompt: bytes) -> tuple[int, ...]:
    """Return the hash of each prefix that consists of whole blocks.

    Two prompts have as many leading hashes in common as leading blocks,
    which corresponds to how engines cache prefixes.
    """
    digest = hashlib.blake2b(digest_size=8)
    hashes = []
    for index in range(
        min(len(prompt) // PREFIX_BLOCK_BYTES, MAX_PREFIX_BLOCKS)
    ):
        start = index * PREFIX_BLOCK_BYTES
        digest.update(prompt[start : start + PREFIX_BLOCK_BYTES])
        value = int.from_bytes(digest.copy().digest(), "big")
        hashes.append(value >> 1)
    return tuple(hashes)


def compute_fingerprint(content: bytes) -> str:
    """Return a hash that identifies requests with the same content.

    The content includes the client, so that a false positive of the
    quarantine affects no other client.
    """
    return hashlib.blake2b(content, digest_size=16).hexdigest()


def _extract_prompt(parsed: CompletionBody, kind: RequestKind) -> bytes:
    if kind is RequestKind.CHAT:
        if not parsed.messages:
            raise bad_request("messages must contain at least one message")
        return b"".join(
            message.role.encode()
            + b"\0"
            + _encode_content(message.content)
            + b"\0"
            for message in parsed.messages
        )
    if parsed.prompt is None:
        raise bad_request("prompt is missing")
    return _encode_content(parsed.prompt)


def _encode_content(content: Any) -> bytes:
    if isinstance(content, str):
        return content.encode()
    return msgspec.json.encode(content)


def _parse_unrepeatable(request: Request) -> bool:
    value = (header(request, UNREPEATABLE_HEADER) or "false").lower()
    if value not in ("true", "false"):
        raise bad_request(f"{UNREPEATABLE_HEADER} must be true or false")
    return value == "true"


def _is_valid_key(key: str) -> bool:
    is_valid_length = 0 < len(key) <= MAX_KEY_LENGTH
    return is_valid_length and key.isascii() and key.isprintable()


def _parse_deadline(
    request: Request, settings: Settings, default: float
) -> float:
    text = header(request, DEADLINE_HEADER)
    if text is None:
        return default
    try:
        seconds = float(text)
    except ValueError:
        seconds = math.nan
    # A comparison with NaN is false, so NaN is rejected too.
    if not 0 < seconds <= settings.limits.max_deadline_seconds:
        raise bad_request(
            f"{DEADLINE_HEADER} must be a number of seconds above 0 and at "
            f"most {settings.limits.max_deadline_seconds:g}"
        )
    return seconds
