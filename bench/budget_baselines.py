"""Baseline of the budget benches: a fixed, even split of every budget."""

from __future__ import annotations

from collections.abc import Callable

from bench.simulation import Action, World
from godwitrudder.request.admission import Reservation
from godwitrudder.request.events import Refuse, Serve
from godwitrudder.request.holder import DispatchAllowed, Step


class EvenSplit:
    """A router that can spend only its own share of every budget.

    All routers have equal shares. Tokens never move between routers.

    Parameters
    ----------
    world : World
        Virtual clock.
    share_by_budget : dict
        Tokens of this router, by budget.
    routers : int
        Number of routers that share a top-up.
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
        """Run an action now, or after a pause; a dead router drops it."""
        if self.dead:
            return
        if self._deferred is not None:
            self._deferred.append(action)
            return
        action()

    def pause(self) -> None:
        """Defer all actions, as SIGSTOP does."""
        self._deferred = []

    def resume(self) -> None:
        """Run the deferred actions and end the pause."""
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
        """Reserve tokens, or refuse after the deadline.

        While other requests hold reservations of the budget, retries once a second,
        since unused tokens may come back. Otherwise refuses at once.
        """
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
        """Allow the dispatch at once; the baseline has no witnesses."""
        on_step(DispatchAllowed(request))

    def end(self, request: str, used_tokens: int) -> None:
        """End a request and return its unused tokens to the share."""
        budget, tokens = self._reserved_by_request.pop(request)
        self._tokens_by_budget[budget] += tokens - used_tokens

    def top_up(self, budget: str, tokens: int) -> None:
        """Add this router's part of a top-up to its share."""
        self._tokens_by_budget[budget] += tokens // self._routers

    def remaining(self, budget: str) -> int:
        """Return the tokens that only this router can spend."""
        return self._tokens_by_budget[budget]

    def _has_reservation(self, budget: str) -> bool:
        held = self._reserved_by_request.values()
        return any(name == budget for name, _ in held)
