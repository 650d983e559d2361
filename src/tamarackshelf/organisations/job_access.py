"""Rules about which organisation may use a job, and under which id it is stored."""

from __future__ import annotations

from tamarackshelf.world import digest_token

ID_SUFFIX_CHARACTERS = 16


def may_access(owner: str, organisation: str) -> bool:
    """Return whether an organisation may read, repeat or end a job of `owner`.

    A job that was stored before organisations existed has "" as owner and is open to
    all keys; "" as organisation is a caller of a system without organisations.
    """
    return owner in ("", organisation) or not organisation


def list_stored_ids(job_id: str, organisation: str) -> list[str]:
    """Return the ids under which an organisation's job may be stored, first one first.

    The caller's id is used as it is unless a job of another organisation has it. Then
    the job is stored under a second id, so that the answers are those for an id that
    is not in use. A digest keeps the second id short.
    """
    if not organisation:
        return [job_id]
    return [job_id, f"{job_id}/{digest_token(organisation)[:ID_SUFFIX_CHARACTERS]}"]


__all__ = ["list_stored_ids", "may_access"]
