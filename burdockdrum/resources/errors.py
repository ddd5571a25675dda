"""The exception for invalid resources."""


class ResourceError(Exception):
    """A resource is invalid; the message names the field."""
