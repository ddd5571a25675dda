"""The certificates that are trusted for outgoing connections."""

import ssl


def make_ssl_context(trust_file: str | None) -> ssl.SSLContext | None:
    """Return a context that trusts only the certificates of a PEM file.

    :returns: None if no file is given: the system's certificates are trusted
    :raises OSError: if the file can't be read
    """
    if trust_file is None:
        return None
    return ssl.create_default_context(cafile=trust_file)
