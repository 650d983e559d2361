"""What the status of a peer's answer says about the call."""

from __future__ import annotations

# A peer's server answers so before its handler begins, and its handlers raise these
# errors before they act.
_NOT_CARRIED_OUT = frozenset({400, 404, 408, 413, 429, 431, 501, 503})


def is_not_carried_out(status: int) -> bool:
    """Return whether a status other than 200 promises that a peer has not acted.

    Any other one promises nothing: a peer that gives a call up for its memory or its
    end answers 504, and one whose handler fails answers 500, after it may have acted.
    """
    return status in _NOT_CARRIED_OUT


__all__ = ["is_not_carried_out"]
