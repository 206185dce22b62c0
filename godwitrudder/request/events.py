"""Typed events and actions of the grant allocator; amounts in tokens."""

from __future__ import annotations

from dataclasses import dataclass

from godwitrudder.connection.escrow import Transfer
from godwitrudder.request.admission import Reservation


@dataclass(frozen=True, slots=True)
class Wanted:
    """A request needs tokens before ``deadline``, a clock reading in seconds."""

    request: str
    budget: str
    tokens: int
    deadline: float


@dataclass(frozen=True, slots=True)
class Abandoned:
    """A request no longer waits."""

    request: str
    budget: str


@dataclass(frozen=True, slots=True)
class Ended:
    """A request with a reservation ended; ``announced`` if it was dispatched."""

    request: str
    used: int
    announced: bool


@dataclass(frozen=True, slots=True)
class Granted:
    """A draw of this process was read back from the log."""

    op: str
    holder: str
    budget: str
    tokens: int
    isolated: int


@dataclass(frozen=True, slots=True)
class DrawVoid:
    """The log voided a draw of this process."""

    op: str
    budget: str


@dataclass(frozen=True, slots=True)
class Asked:
    """Another holder asks for idle tokens; the lower ``rank`` takes precedence."""

    budget: str
    asker: str
    tokens: int
    rank: int


@dataclass(frozen=True, slots=True)
class Answered:
    """Another holder answered; transferred tokens arrive as ``Received``."""

    budget: str
    holder: str
    busy: int
    idle: int


@dataclass(frozen=True, slots=True)
class Received:
    """A donor handed tokens over with the last of ``transfers``; credited once."""

    transfers: tuple[Transfer, ...]


@dataclass(frozen=True, slots=True)
class Transferred:
    """The log shows a hand-over that this process appended or receives."""

    transfer: Transfer


@dataclass(frozen=True, slots=True)
class Undone:
    """A hand-over of this process did not happen; processed once."""

    op: str


@dataclass(frozen=True, slots=True)
class Changed:
    """A log record of the budget took effect, such as a top-up, a bill or a return."""

    budget: str


@dataclass(frozen=True, slots=True)
class Closed:
    """The log closed the holder: continue under a new, unused number."""

    number: int


@dataclass(frozen=True, slots=True)
class Renewed:
    """The witnesses changed: continue under the number that they were read for."""

    number: int


@dataclass(frozen=True, slots=True)
class Tick:
    """Time passed."""


Event = (
    Wanted
    | Abandoned
    | Ended
    | Granted
    | DrawVoid
    | Asked
    | Answered
    | Received
    | Transferred
    | Undone
    | Changed
    | Closed
    | Renewed
    | Tick
)


@dataclass(frozen=True, slots=True)
class Draw:
    """Append a grant for ``holder``."""

    op: str
    budget: str
    holder: str
    needed: int
    tokens: int
    isolated: int


@dataclass(frozen=True, slots=True)
class GiveBack:
    """Append a return; ``isolated`` of its tokens come from the isolated pool."""

    op: str
    budget: str
    holder: str
    tokens: int
    isolated: int


@dataclass(frozen=True, slots=True)
class HandOver:
    """Have the last transfer acknowledged, then append all and tell the asker."""

    transfers: tuple[Transfer, ...]

    @property
    def last(self) -> Transfer:
        """Transfer made by this process; the others brought it the tokens."""
        return self.transfers[-1]


@dataclass(frozen=True, slots=True)
class Append:
    """Append hand-overs, before any bill that is paid from them."""

    transfers: tuple[Transfer, ...]


@dataclass(frozen=True, slots=True)
class Ask:
    """Ask another holder for idle tokens."""

    budget: str
    holder: str
    asker: str
    tokens: int
    rank: int


@dataclass(frozen=True, slots=True)
class Reply:
    """Answer a call-back; ``busy`` tokens may still become idle here."""

    budget: str
    busy: int
    idle: int


@dataclass(frozen=True, slots=True)
class Charge:
    """Append a bill."""

    reservation: Reservation
    used: int


@dataclass(frozen=True, slots=True)
class Serve:
    """Let a request continue: its tokens are reserved."""

    reservation: Reservation


@dataclass(frozen=True, slots=True)
class Refuse:
    """Tell a request that waits that it does not run.

    Attributes
    ----------
    exhausted : bool
        Whether the budget is known not to cover it; otherwise its wait timed out.
    left : int or None
        Tokens paid and not billed; None if the budget is unknown.
    """

    request: str
    budget: str
    needed: int
    exhausted: bool
    left: int | None


Action = Draw | GiveBack | HandOver | Append | Ask | Reply | Charge | Serve | Refuse
