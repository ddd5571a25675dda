"""Which certificates are trusted when calling out."""

import ssl


def make_trust(trust_file: str | None) -> ssl.SSLContext | None:
    """Return a context that trusts the certificates of a PEM file only.

    :returns: None, for the system's own trust, if no file is named
    :raises OSError: if the file can't be read
    """
    if trust_file is None:
        return None
    return ssl.create_default_context(cafile=trust_file)
