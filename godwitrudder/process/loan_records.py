"""What a host keeps about loans and about the hosts that it exchanges them with."""

from __future__ import annotations

from dataclasses import dataclass

from godwitrudder.connection.loans import Loan
from godwitrudder.version.statements import Statement


@dataclass(slots=True)
class UnacknowledgedLoan:
    """A loan without a receipt.

    Attributes
    ----------
    datagram : bytes
        The loan as it was sealed; only one incarnation of the borrower accepts it.
    resend_rounds : int
        Rounds of the resend loop in which it was still without a receipt.
    """

    host: str
    loan: Loan
    datagram: bytes
    address: tuple[str, int]
    resend_rounds: int = 0


@dataclass(frozen=True, slots=True)
class PeerEndpoint:
    """Address and key of one incarnation of a host."""

    epoch: int
    address: tuple[str, int]
    key: bytes


def peer_endpoint(statement: Statement | None) -> PeerEndpoint | None:
    """Return the endpoint that a statement names, or None if it is not usable."""
    if statement is None:
        return None
    ip, _, port = statement.peer.rpartition(":")
    if not ip or not port.isdecimal():
        return None
    return PeerEndpoint(statement.epoch, (ip, int(port)), statement.key)


def loan_outcome(loan: Loan | None) -> str:
    """Return the outcome of an ask, as a counter label."""
    if loan is None:
        return "silent"
    return "borrowed" if loan.tokens else "nothing"
