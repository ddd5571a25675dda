"""Proof that a payload comes from a holder of the cluster's secret."""

import hashlib
import hmac

TAG_BYTES = 16
_VERSION = b"\x01"


class Seal:
    """A keyed BLAKE2b tag before each payload.

    The control port is open to whoever reaches the VM. Without the tag,
    garbage or a forged message there could depose a leader; with it, such
    payloads are dropped before they are decoded.
    """

    def __init__(self, *, secret: bytes) -> None:
        """Create a seal from the cluster's shared secret."""
        self._key = hashlib.blake2b(secret, digest_size=32).digest()

    def close(self, payload: bytes) -> bytes:
        """Put version and tag before a payload."""
        return _VERSION + self._tag(payload) + payload

    def open(self, sealed: bytes) -> bytes | None:
        """Return the payload, or None if the tag does not fit."""
        if len(sealed) <= 1 + TAG_BYTES or sealed[:1] != _VERSION:
            return None
        tag = sealed[1 : 1 + TAG_BYTES]
        payload = sealed[1 + TAG_BYTES :]
        if not hmac.compare_digest(tag, self._tag(payload)):
            return None
        return payload

    def _tag(self, payload: bytes) -> bytes:
        return hashlib.blake2b(
            payload, key=self._key, digest_size=TAG_BYTES
        ).digest()
