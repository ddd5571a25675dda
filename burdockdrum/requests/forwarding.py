"""The authenticated header of a request forwarded to another data centre."""

import base64
import hashlib

import msgspec

from burdockdrum.decoding import decode_msgpack
from burdockdrum.peers import PayloadAuthenticator
from burdockdrum.requests.model import InboundRequest
from burdockdrum.requests.model import RequestKind

FORWARD_HEADER = "x-burdockdrum-forward"


class ForwardHeader(msgspec.Struct, frozen=True, kw_only=True):
    """All properties of a request except its body.

    The deadline is sent as remaining seconds, because monotonic clocks of
    different VMs are not comparable.
    """

    request_id: str
    client_id: str
    service: str
    kind: str
    method: str
    path: str
    content_type: str
    stream: bool
    seconds_remaining: float
    priority_class: str | None
    unrepeatable: bool
    idempotency_key: str | None
    adapter: str | None
    prompt_tokens: int
    max_tokens: int
    prefix_hashes: list[int]
    fingerprint: str
    hops: list[str]
    displaced: bool = False
    resume_offset: int = 0
    headers: list[tuple[str, str]] = []
    software_version: str | None = None

    @classmethod
    def from_request(
        cls,
        request: InboundRequest,
        *,
        data_centre: str,
        now: float,
        displaced: bool = False,
        resume_offset: int = 0,
        software_version: str | None = None,
    ) -> "ForwardHeader":
        """Create the header of a request that is forwarded now.

        :param displaced: whether the data centre has no endpoint for it
        :param resume_offset: number of tokens already sent to the caller
        :param software_version: that of the endpoint which began the stream
        """
        return cls(
            request_id=request.request_id,
            client_id=request.client_id,
            service=request.service,
            kind=request.kind.value,
            method=request.method,
            path=request.path,
            content_type=request.content_type,
            stream=request.stream,
            seconds_remaining=request.deadline - now,
            priority_class=request.priority_class,
            unrepeatable=request.unrepeatable,
            idempotency_key=request.idempotency_key,
            adapter=request.adapter,
            prompt_tokens=request.prompt_tokens,
            max_tokens=request.max_tokens,
            prefix_hashes=list(request.prefix_hashes),
            fingerprint=request.fingerprint,
            hops=[*request.hops, data_centre],
            displaced=displaced,
            resume_offset=resume_offset,
            headers=list(request.headers),
            software_version=software_version,
        )

    def to_request(self, body: bytes, *, now: float) -> InboundRequest:
        """Rebuild the request at the receiving entry VM."""
        return InboundRequest(
            request_id=self.request_id,
            client_id=self.client_id,
            service=self.service,
            kind=RequestKind(self.kind),
            method=self.method,
            path=self.path,
            body=body,
            content_type=self.content_type,
            stream=self.stream,
            received_at=now,
            deadline=now + self.seconds_remaining,
            priority_class=self.priority_class,
            unrepeatable=self.unrepeatable,
            idempotency_key=self.idempotency_key,
            adapter=self.adapter,
            prompt_tokens=self.prompt_tokens,
            max_tokens=self.max_tokens,
            prefix_hashes=tuple(self.prefix_hashes),
            fingerprint=self.fingerprint,
            hops=tuple(self.hops),
            displaced=self.displaced,
            resume_offset=self.resume_offset,
            headers=tuple(self.headers),
            software_version=self.software_version,
        )


class _SignedHeader(msgspec.Struct, frozen=True, array_like=True):
    body_digest: bytes
    header: ForwardHeader


def sign_header(
    authenticator: PayloadAuthenticator, header: ForwardHeader, body: bytes
) -> str:
    """Encode and authenticate a header and the digest of its body."""
    content = _SignedHeader(_digest(body), header)
    payload = authenticator.sign(msgspec.msgpack.encode(content))
    return base64.urlsafe_b64encode(payload).decode()


def verify_header(
    authenticator: PayloadAuthenticator, text: str, body: bytes
) -> ForwardHeader | None:
    """Decode a header; return None if it or the body is not authentic."""
    try:
        payload = authenticator.verify(base64.urlsafe_b64decode(text))
        if payload is None:
            return None
        content = decode_msgpack(payload, _SignedHeader)
    except ValueError:
        return None
    if content.body_digest != _digest(body):
        return None
    return content.header


def _digest(body: bytes) -> bytes:
    return hashlib.blake2b(body, digest_size=16).digest()
