"""Which status codes of responses are valid."""

# RFC 9110, section 15.
MIN_STATUS = 100
MIN_FINAL_STATUS = 200
MIN_ERROR_STATUS = 300
MAX_STATUS = 599


class InvalidStatus(ValueError):
    """A response has a status code that no response may have."""


def check_status(status: int) -> None:
    """Check the status code of a response.

    :raises InvalidStatus: if it is not from 100 to 599
    """
    if not MIN_STATUS <= status <= MAX_STATUS:
        raise InvalidStatus(f"invalid status {status:03}")
