"""Messages by which the entry VMs of a data centre lend each other quota."""

from typing import ClassVar

from burdockdrum.peers import Message


class BorrowRequest(Message, frozen=True, kw_only=True):
    """A request to borrow a part of another VM's share of a limit.

    A request with the id of an existing loan renews that loan.
    """

    wire_kind: ClassVar[str | None] = "admission.Borrow"

    loan_id: str
    subject: str
    resource: str
    amount: float


class BorrowReply(Message, frozen=True, kw_only=True):
    """The amount lent, 0 for none, and for how many seconds."""

    wire_kind: ClassVar[str | None] = "admission.Lent"

    amount: float
    seconds: float


class ReturnLoan(Message, frozen=True, kw_only=True):
    """Notice that the borrower no longer uses a loan."""

    loan_id: str
    subject: str
    resource: str
