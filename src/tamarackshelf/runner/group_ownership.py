"""Ownership of the groups of open steps."""

from __future__ import annotations

from dataclasses import dataclass

from tamarackshelf.policy.ownership import find_owner
from tamarackshelf.world import Step


@dataclass(frozen=True, slots=True)
class OwnedGroups:
    """Groups of a step that this runner owns, that is, whose slots it runs.

    Another runner owned the `acquired` ones before; its samples are still to be loaded.
    """

    owned: tuple[int, ...]
    acquired: frozenset[int]


class GroupOwnership:
    """Owned groups of each step, computed once for each set of live runners."""

    def __init__(self, vm: str) -> None:
        self._vm = vm
        self._runners: tuple[str, ...] = ()
        self._owned: dict[str, OwnedGroups] = {}
        self._previous: dict[str, OwnedGroups] = {}

    def set_runners(self, runners: tuple[str, ...]) -> None:
        """Set the live runners; if they changed, ownership is computed anew."""
        if runners != self._runners:
            self._runners = runners
            self._previous = {**self._previous, **self._owned}
            self._owned = {}

    def find_owned(self, step: Step) -> OwnedGroups:
        """Return the step's groups that this runner owns."""
        known = self._owned.get(step.name)
        if known is None:
            known = self._compute(step)
            self._owned[step.name] = known
        return known

    def clear_acquired(self, step: str) -> None:
        """Record that the samples of a step's `acquired` groups have been loaded."""
        known = self._owned.get(step)
        if known is not None:
            self._owned[step] = OwnedGroups(known.owned, frozenset())

    def drop(self, step: str) -> None:
        """Forget a step."""
        self._owned.pop(step, None)
        self._previous.pop(step, None)

    def _compute(self, step: Step) -> OwnedGroups:
        owned = tuple(
            group
            for group in range(len(step.prompts))
            if find_owner(self._runners, f"{step.name}/{group}") == self._vm
        )
        previous = self._previous.get(step.name)
        acquired = (
            frozenset(owned) - frozenset(previous.owned) if previous else frozenset()
        )
        return OwnedGroups(owned, acquired)


__all__ = ["GroupOwnership", "OwnedGroups"]
