"""What entry VMs of a data centre tell each other about quotas."""

from burdockdrum.peers import Message


class Borrow(Message, frozen=True, kw_only=True):
    """A request for a part of another VM's share of a limit.

    Asking again under the same loan id renews the loan.
    """

    loan_id: str
    subject: str
    resource: str
    amount: float


class Lent(Message, frozen=True, kw_only=True):
    """What is lent, 0 for nothing, and for how many seconds."""

    amount: float
    seconds: float


class ReturnLoan(Message, frozen=True, kw_only=True):
    """What was lent is no longer used."""

    loan_id: str
    subject: str
    resource: str
