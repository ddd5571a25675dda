"""The error of a resource that is refused."""


class ResourceError(Exception):
    """A resource was not accepted; the message names the field."""
