"""Bearer tokens are kept as hashes only."""

import hashlib


def hash_token(token: str) -> str:
    """Return the hash under which a token is kept, in hexadecimal.

    Tokens are long random strings, so a plain digest can't be searched
    through as a password's could.
    """
    return hashlib.sha256(token.encode()).hexdigest()
