"""Baseline of the budget benches: each router gets an even share for good."""

from __future__ import annotations

from collections.abc import Callable

from bench.simulation import Action, World
from godwitrudder.request.admission import Reservation
from godwitrudder.request.events import Refuse, Serve
from godwitrudder.request.holder import DispatchAllowed, Step


class EvenSplit:
    """A router with a fixed share of every budget, the same for each.

    Parameters
    ----------
    share_by_budget : dict
        Tokens of this router.
    routers : int
        Among how many a top-up is split.
    """

    def __init__(
        self, world: World, share_by_budget: dict[str, int], routers: int
    ) -> None:
        self._world = world
        self._tokens_by_budget = dict(share_by_budget)
        self._routers = routers
        self._reserved_by_request: dict[str, tuple[str, int]] = {}
        self.dead = False
        self._deferred: list[Action] | None = None

    def execute(self, action: Action) -> None:
        """Run an action here: now, after a pause, or never."""
        if self.dead:
            return
        if self._deferred is not None:
            self._deferred.append(action)
            return
        action()

    def pause(self) -> None:
        """Stop."""
        self._deferred = []

    def resume(self) -> None:
        """Go on."""
        waiting, self._deferred = self._deferred or [], None
        for action in waiting:
            action()

    def reserve(
        self,
        request: str,
        budget: str,
        tokens: int,
        deadline: float,
        on_step: Callable[[Step], None],
    ) -> None:
        """Reserve, or refuse once the deadline passed."""
        if tokens <= self._tokens_by_budget[budget]:
            self._tokens_by_budget[budget] -= tokens
            self._reserved_by_request[request] = (budget, tokens)
            on_step(Serve(Reservation(request, budget, "", tokens)))
        elif self._world.clock.now() >= deadline or not self._has_reservation(budget):
            on_step(Refuse(request, budget, tokens, True, None))
        else:
            self._world.after(
                1.0,
                lambda: self.execute(
                    lambda: self.reserve(request, budget, tokens, deadline, on_step)
                ),
            )

    def announce(
        self, request: str, deadline: float, on_step: Callable[[Step], None]
    ) -> None:
        """Dispatch at once."""
        on_step(DispatchAllowed(request))

    def end(self, request: str, used: int) -> None:
        """Put the unused part back."""
        budget, tokens = self._reserved_by_request.pop(request)
        self._tokens_by_budget[budget] += tokens - used

    def top_up(self, budget: str, tokens: int) -> None:
        """Take this router's part of a top-up."""
        self._tokens_by_budget[budget] += tokens // self._routers

    def remaining(self, budget: str) -> int:
        """Tokens that only this router can spend."""
        return self._tokens_by_budget[budget]

    def _has_reservation(self, budget: str) -> bool:
        held = self._reserved_by_request.values()
        return any(name == budget for name, _ in held)
