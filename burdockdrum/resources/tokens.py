"""Hashes of bearer tokens; the tokens themselves are not stored."""

import hashlib


def hash_token(token: str | bytes) -> str:
    """Return the SHA-256 of a token in hexadecimal.

    Tokens are long random strings, so an unsalted digest is not open to
    the dictionary attacks that passwords are.
    """
    value = token.encode() if isinstance(token, str) else token
    return hashlib.sha256(value).hexdigest()
