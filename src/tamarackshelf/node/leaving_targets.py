"""News of targets that say in their responses that they leave."""

from __future__ import annotations

import logging

from tamarackshelf.decoding import InvalidInput, parse_number
from tamarackshelf.node.fleet import Fleet
from tamarackshelf.node.targets import TargetRegistry
from tamarackshelf.policy.rumours import Rumour
from tamarackshelf.world import Target

# A rumour with this prefix names a target and its incarnation; the value is the node
# that got the response.
LEAVING_PREFIX = "leaving:"

log = logging.getLogger("tamarackshelf")


class LeavingTargets:
    """Records targets that leave and tells the other nodes by gossip.

    A node that holds an old list would otherwise learn it from its own responses only.
    """

    def __init__(self, targets: TargetRegistry) -> None:
        self._targets = targets
        self._fleet: Fleet | None = None

    def connect(self, fleet: Fleet) -> None:
        """Start to exchange the news with the other nodes."""
        self._fleet = fleet
        fleet.gossip.on_rumour(LEAVING_PREFIX, self._receive_rumour)

    def record(self, target: Target) -> None:
        """Record that a response of a target said that it leaves."""
        name, incarnation = target.name, target.incarnation
        reason = "its responses say so"
        is_new = self._targets.record_leaving(name, incarnation, reason)
        if is_new and self._fleet is not None:
            subject = f"{LEAVING_PREFIX}{name}/{incarnation}"
            self._fleet.gossip.publish(Rumour(subject, 1, self._fleet.own.vm))

    def discard_old(self) -> None:
        """Forget the rumours about targets that are gone for long."""
        if self._fleet is None:
            return
        known = {
            f"{LEAVING_PREFIX}{name}/{incarnation}"
            for name, incarnation in self._targets.list_leaving()
        }
        self._fleet.gossip.membership.rumours.discard(
            lambda subject: subject.startswith(LEAVING_PREFIX) and subject not in known
        )

    def _receive_rumour(self, rumour: Rumour) -> None:
        subject = rumour.subject.removeprefix(LEAVING_PREFIX)
        name, _, incarnation = subject.rpartition("/")
        try:
            number = parse_number(incarnation)
        except InvalidInput as error:
            event = {"subject": rumour.subject, "reason": str(error)}
            log.warning("rumour_unreadable", extra={"event": event})
            return
        reason = f"its responses to {rumour.value} say so"
        self._targets.record_leaving(name, number, reason)


__all__ = ["LEAVING_PREFIX", "LeavingTargets"]
