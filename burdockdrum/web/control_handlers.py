"""Handlers for operators who replace a control VM or its disk."""

from collections.abc import Awaitable

from blacksheep.messages import Request
from blacksheep.messages import Response
import msgspec

from burdockdrum.consensus import Member
from burdockdrum.consensus import NotAccepted
from burdockdrum.consensus import OutcomeUnknown
from burdockdrum.consensus import ReplicatedLog
from burdockdrum.verdicts import Refusal
from burdockdrum.verdicts import RefusalCode
from burdockdrum.verdicts import Verdict
from burdockdrum.web.authentication import Authenticator
from burdockdrum.web.reading import path_parameter
from burdockdrum.web.reading import read_json
from burdockdrum.web.responses import json_response


class MemberBody(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """The control address and disk id of a control VM to add."""

    address: str
    disk_id: str


class ControlView(msgspec.Struct, frozen=True, kw_only=True):
    """The members of the replicated log, and this VM's state in it.

    ``last_contact_seconds`` is the time since the last contact with the
    leader, or on the leader with a quorum.
    """

    members: list[Member]
    role: str
    leader_id: str | None
    disk_id: str | None
    halt_reason: str | None
    last_contact_seconds: float | None


class ControlHandlers:
    """Handlers for the membership of control VMs."""

    def __init__(
        self,
        *,
        authenticator: Authenticator,
        log: ReplicatedLog | None,
        control_ids: list[str],
        body_limit: int,
    ) -> None:
        """Create the handlers.

        :param log: the replicated log, None if this is not a control VM
        :param control_ids: the control VMs, named in refusals by other VMs
        """
        self._authenticator = authenticator
        self._log = log
        self._control_ids = control_ids
        self._limit = body_limit

    async def list(self, request: Request, request_id: str) -> Response:
        """Serve GET /v1/control/members."""
        log = self._find_log(request)
        return json_response(
            ControlView(
                members=list(log.members),
                role=log.role.value,
                leader_id=log.leader_id,
                disk_id=log.disk_id,
                halt_reason=log.halt_reason,
                last_contact_seconds=log.last_contact_age,
            )
        )

    async def add(self, request: Request, request_id: str) -> Response:
        """Serve PUT /v1/control/members/VM: add a learner to be promoted."""
        log = self._find_log(request)
        body = await read_json(request, self._limit, MemberBody)
        vm_id = path_parameter(request, "vm_id")
        await _await_change(log.add_member(vm_id, body.address, body.disk_id))
        return json_response({"added": vm_id})

    async def remove(self, request: Request, request_id: str) -> Response:
        """Serve DELETE /v1/control/members/VM."""
        log = self._find_log(request)
        vm_id = path_parameter(request, "vm_id")
        await _await_change(log.remove_member(vm_id))
        return json_response({"removed": vm_id})

    def _find_log(self, request: Request) -> ReplicatedLog:
        self._authenticator.find_operator(request)
        if self._log is None:
            names = ", ".join(sorted(self._control_ids))
            raise Refusal(
                code=RefusalCode.NOT_FOUND,
                message=f"this is not a control VM; use one of: {names}",
                verdict=Verdict.NOT_RUN,
            )
        return self._log


async def _await_change(change: Awaitable[None]) -> None:
    try:
        await change
    except NotAccepted as error:
        raise Refusal(
            code=RefusalCode.NOT_ACCEPTED,
            message=str(error),
            verdict=Verdict.NOT_RUN,
        ) from error
    except OutcomeUnknown as error:
        raise Refusal(
            code=RefusalCode.OUTCOME_UNKNOWN,
            message=f"{error}; list the members before retrying",
            verdict=Verdict.MAY_HAVE_RUN,
            retry_after=1.0,
        ) from error
