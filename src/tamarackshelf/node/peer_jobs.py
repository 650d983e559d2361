"""Reading a job from its owner, for nodes that cannot reach the store."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from tamarackshelf.net import ConnectFailed, ConnectionLost, HttpClient
from tamarackshelf.world import Address
from tamarackshelf.world.job import ItemResult, Job

READ_PATH = "/job-read"
# Callers wait at most a little longer than a second for a page.
READ_TIMEOUT_S = 0.6


@dataclass(frozen=True, slots=True)
class JobRead:
    """Asks for the results of a job from a position on, or for the job itself."""

    job_id: str
    after: int
    with_job: bool


@dataclass(frozen=True, slots=True)
class JobReadAnswer:
    """What the owner has stored; all else is empty when it is not the owner."""

    is_owner: bool
    total: int = 0
    results: tuple[ItemResult, ...] = ()
    job: Job | None = None


async def ask_owner(
    http: HttpClient, address: Address, request: JobRead
) -> JobReadAnswer:
    """Returns the owner's answer; an unreachable node counts as no owner."""
    try:
        answer = await http.request(
            address,
            "POST",
            READ_PATH,
            body=msgspec.msgpack.encode(request),
            timeout_s=READ_TIMEOUT_S,
        )
    except (ConnectFailed, ConnectionLost):
        return JobReadAnswer(is_owner=False)
    if answer.status != 200:
        return JobReadAnswer(is_owner=False)
    return msgspec.msgpack.decode(answer.body, type=JobReadAnswer)


__all__ = ["READ_PATH", "JobRead", "JobReadAnswer", "ask_owner"]
