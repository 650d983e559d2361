"""Verdict of a node on its paths to the targets of a service."""

from __future__ import annotations

from dataclasses import dataclass

# Rounds of probes in a row that must succeed before a node that was cut off uses its
# own paths again, so that it does not flap on a link that recovers slowly.
SOUND_ROUNDS = 2


@dataclass(slots=True)
class ServicePaths:
    """What a node knows of its own paths to the targets of one service.

    `is_confirmed` is set when a peer reached a target that this node did not reach, and
    `is_refused` when the connections of a cut were refused: those that are open live
    on.
    Times are those of the event loop's clock.
    """

    is_cut_off: bool = False
    is_confirmed: bool = False
    is_refused: bool = False
    checked_at_s: float = float("-inf")
    changed_at_s: float = float("-inf")
    sound_rounds: int = 0

    def record_round(
        self,
        reached: int,
        probed: int,
        now_s: float,
        refused: int = 0,
        reached_others: int = 0,
    ) -> bool:
        """Apply a round of connection probes; return whether the verdict changed.

        A node is cut off when it reached none of the probed targets. If it reached
        targets of other services (`reached_others`), the targets that refuse
        connections have ended, and a single target may be silent by itself.
        The node is sound again after it reached most targets in SOUND_ROUNDS rounds, or
        in one round if no peer had reached them either.
        """
        self.checked_at_s = now_s
        if not probed:
            return False
        self.is_refused = refused == probed
        is_down = reached_others > 0 and (self.is_refused or probed == 1)
        if not self.is_cut_off:
            if reached or is_down:
                return False
            self.is_cut_off, self.is_confirmed, self.sound_rounds = True, False, 0
        else:
            is_sound = is_down or reached * 2 > probed
            self.sound_rounds = self.sound_rounds + 1 if is_sound else 0
            if self.sound_rounds < (SOUND_ROUNDS if self.is_confirmed else 1):
                return False
            self.is_cut_off = False
        self.changed_at_s = now_s
        return True


__all__ = ["SOUND_ROUNDS", "ServicePaths"]
