"""Why a server connection ended."""

import enum


class EndCause(enum.Enum):
    """The first reason to end a connection; a label of metrics and logs."""

    # The last response said so.
    RESPONSE_SENT = "response_sent"
    IDLE = "idle"
    # The caller closed it, or was lost.
    LEFT = "left"
    LEFT_WITH_REQUEST = "left_with_request"
    # A request was malformed or over a limit.
    REJECTED = "rejected"
    REQUEST_TIMED_OUT = "request_timed_out"
    # Other requests needed its memory, or other connections its descriptor.
    SHED = "shed"
    EVICTED = "evicted"
    # The caller did not read its response, and others needed its memory.
    SLOW_READER = "slow_reader"
    # A response had begun, and its handler ended first.
    RESPONSE_CUT = "response_cut"
    HANDLER_FAILED = "handler_failed"
    NO_RESPONSE = "no_response"
    # The listener closed with a request read, wholly or partly.
    STOPPED_WITH_REQUEST = "stopped_with_request"
    STOPPED = "stopped"

    @property
    def is_logged(self) -> bool:
        """Whether each such end is worth a line in the log."""
        return self not in _COUNTED_ONLY


_COUNTED_ONLY = frozenset(
    {
        EndCause.RESPONSE_SENT,
        EndCause.IDLE,
        EndCause.LEFT,
        EndCause.LEFT_WITH_REQUEST,
        # The process's limits log these.
        EndCause.SHED,
        EndCause.EVICTED,
        EndCause.STOPPED,
    }
)
