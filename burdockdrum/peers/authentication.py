"""Message authentication with the cluster's shared secret."""

import hashlib
import hmac

TAG_BYTES = 16
_VERSION = b"\x01"


class PayloadAuthenticator:
    """Authenticates payloads with a keyed BLAKE2b tag.

    The control port accepts connections from anyone who can reach the VM.
    The tag prevents forged messages, such as one that deposes a leader:
    payloads without a valid tag are dropped before they are decoded.
    """

    def __init__(self, *, secret: bytes) -> None:
        """Derive the key from the cluster's shared secret."""
        self._key = hashlib.blake2b(secret, digest_size=32).digest()

    def sign(self, payload: bytes) -> bytes:
        """Return a payload with version and tag prepended."""
        return _VERSION + self._tag(payload) + payload

    def verify(self, signed: bytes) -> bytes | None:
        """Verify and remove the tag; return None if it is invalid."""
        if len(signed) <= 1 + TAG_BYTES or signed[:1] != _VERSION:
            return None
        tag = signed[1 : 1 + TAG_BYTES]
        payload = signed[1 + TAG_BYTES :]
        if not hmac.compare_digest(tag, self._tag(payload)):
            return None
        return payload

    def _tag(self, payload: bytes) -> bytes:
        return hashlib.blake2b(
            payload, key=self._key, digest_size=TAG_BYTES
        ).digest()
