"""Decides where the text of an item may go on, and when the item starts again."""

from __future__ import annotations

from collections.abc import Collection, Sequence

from tamarackshelf.contracts.targets import NotRun, OutcomeUnknown, TargetClient
from tamarackshelf.jobs.item_state import ItemState
from tamarackshelf.node.targets import TargetRegistry
from tamarackshelf.observe import Metrics, Timeline
from tamarackshelf.policy.item_placement import EngineCandidate, place_item
from tamarackshelf.policy.route_table import pick_service
from tamarackshelf.world import Target
from tamarackshelf.world.route import Route

# Time of an event, assumed while none has been measured.
DEFAULT_EVENT_S = 0.04
# Longest time that a text waits for an engine which may continue it.
MAX_CONTINUE_WAIT_S = 1.0
# A live engine reports its state within a few milliseconds.
VERIFY_TIMEOUT_S = 0.5


class EngineUnverified(Exception):
    """It is not certain which software the engine of a run has."""


class TextContinuation:
    """Keeps each text to the service and the software that began it."""

    def __init__(
        self,
        targets: TargetRegistry,
        target_client: TargetClient,
        timeline: Timeline,
        metrics: Metrics,
    ) -> None:
        self._targets = targets
        self._target_client = target_client
        self._timeline = timeline
        self._metrics = metrics

    def choose_service(self, state: ItemState, route: Route) -> str:
        """Return the service that began an item's text if the route still has it."""
        services = {share.service for share in route.shares}
        if state.origin is not None and state.origin.service in services:
            return state.origin.service
        return pick_service(route.shares, self._targets.rng)

    def choose_engine(
        self,
        state: ItemState,
        service: str,
        engines: Sequence[EngineCandidate],
        min_version: int,
        now_s: float,
        preferred: Collection[str] = (),
    ) -> str | None:
        """Return the engine for an item's next run, or None while it has to wait.

        The text is discarded, and the item starts again, if no engine may continue it
        or none takes it soon: waiting for longer than the text took to write costs more
        than it saves. Engines in `preferred` have read the item's prompt.
        """
        reason = self._explain_discard(state, service)
        name = place_item(
            engines,
            min_version,
            software=state.software,
            rng=self._targets.rng,
            preferred=preferred,
        )
        if not reason and (name is not None or state.origin is None):
            return name
        if not reason and now_s < self._compute_wait_end_s(state, service, now_s):
            return None
        self._discard(state, reason or "no engine that may continue it takes it soon")
        return place_item(
            engines, min_version, rng=self._targets.rng, preferred=preferred
        )

    async def verify(self, state: ItemState, target: Target) -> bool:
        """Return whether the engine of a run is the one that the list describes.

        It may have restarted under its name with other software, which the list shows
        later, and much later while it is not current. Raise EngineUnverified if that
        may be so and the run continues a text.
        """
        if not state.has_text and self._targets.is_list_current():
            return True
        try:
            await self._target_client.read_report(target, VERIFY_TIMEOUT_S)
        except (NotRun, OutcomeUnknown) as error:
            if not state.has_text:
                return False
            raise EngineUnverified(
                f"{target.name} may have restarted with other software: {error}"
            ) from error
        return True

    def _explain_discard(self, state: ItemState, service: str) -> str:
        """Return why no engine may continue the text, or ""."""
        origin = state.origin
        if origin is None:
            return ""
        if origin.service != service:
            return "the route no longer has the service that began the text"
        if not origin.is_certain:
            return "it is not certain which software began the text"
        listed = self._targets.get(origin.engine)
        if (
            listed is not None
            and listed.target.incarnation != origin.incarnation
            and listed.target.software != origin.software
        ):
            return "the engine may have restarted before it began the text"
        if not self._targets.has_software(service, origin.software):
            return "no engine has the software that began the text"
        return ""

    def _compute_wait_end_s(
        self, state: ItemState, service: str, now_s: float
    ) -> float:
        if state.continue_by_s is None:
            event_s = self._targets.fastest_event_s(service) or DEFAULT_EVENT_S
            wait_s = min(MAX_CONTINUE_WAIT_S, len(state.pieces) * event_s)
            state.continue_by_s = now_s + wait_s
        return state.continue_by_s

    def _discard(self, state: ItemState, reason: str) -> None:
        assert state.origin is not None
        self._timeline.record(
            "text_discarded",
            state.item.item_id,
            reason,
            pieces=len(state.pieces),
            software=state.origin.software,
            engine=state.origin.engine,
        )
        self._metrics.count("texts_discarded")
        state.reset()


__all__ = [
    "DEFAULT_EVENT_S",
    "MAX_CONTINUE_WAIT_S",
    "EngineUnverified",
    "TextContinuation",
]
