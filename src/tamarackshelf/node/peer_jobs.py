"""Jobs among peers: reading from the owner, and handing a running job over."""

from __future__ import annotations

import enum
from dataclasses import dataclass

import msgspec

from tamarackshelf.net import ConnectFailed, ConnectionLost, HttpClient
from tamarackshelf.store.job_store import StoredHead
from tamarackshelf.world import Address
from tamarackshelf.world.job import ItemProgress, ItemResult, Job

JOB_READ_PATH = "/job-read"
HANDOVER_PATH = "/job-take"
# A job with its texts is a few hundred kilobytes.
HANDOVER_TIMEOUT_S = 1.0
# The smallest VMs of the users have links of 30 Mbit/s.
SLOWEST_LINK_BYTES_PER_S = 30e6 / 8
# Callers wait at most a little longer than a second for a page.
READ_TIMEOUT_S = 0.6


@dataclass(frozen=True, slots=True)
class JobReadRequest:
    """Asks for the results of a job from a position on, or for the job itself."""

    job_id: str
    after: int
    with_job: bool


@dataclass(frozen=True, slots=True)
class JobReadAnswer:
    """What the owner has stored; all else is empty when it is not the owner.

    A node that took a job and has not claimed it yet knows no results for sure.
    """

    is_owner: bool
    knows_results: bool = True
    total: int = 0
    results: tuple[ItemResult, ...] = ()
    job: Job | None = None


@dataclass(frozen=True, slots=True)
class JobHandover:
    """A running job whose owner stops; `unlisted` results are not stored yet."""

    job: Job
    stored: StoredHead
    listed: tuple[ItemResult, ...]
    unlisted: tuple[ItemResult, ...]
    texts: tuple[ItemProgress, ...]


class HandoverOutcome(enum.Enum):
    """What is known of a hand-over; only after REFUSED may another peer be asked."""

    TAKEN = "taken"
    REFUSED = "refused"
    UNCERTAIN = "uncertain"


async def hand_over_job(
    http: HttpClient,
    address: Address,
    handover: JobHandover,
    timeout_s: float = HANDOVER_TIMEOUT_S,
) -> HandoverOutcome:
    """Returns whether the peer took the job, as far as that is known.

    `timeout_s` does not count the time that the job's bytes take on a slow link.
    """
    body = msgspec.msgpack.encode(handover)
    try:
        answer = await http.request(
            address,
            "POST",
            HANDOVER_PATH,
            body=body,
            timeout_s=timeout_s + len(body) / SLOWEST_LINK_BYTES_PER_S,
        )
    except ConnectFailed:
        return HandoverOutcome.REFUSED
    except ConnectionLost:
        return HandoverOutcome.UNCERTAIN
    is_taken = answer.status == 200
    return HandoverOutcome.TAKEN if is_taken else HandoverOutcome.REFUSED


async def read_from_owner(
    http: HttpClient, address: Address, request: JobReadRequest
) -> JobReadAnswer:
    """Returns the owner's answer; an unreachable node counts as no owner."""
    try:
        answer = await http.request(
            address,
            "POST",
            JOB_READ_PATH,
            body=msgspec.msgpack.encode(request),
            timeout_s=READ_TIMEOUT_S,
        )
    except (ConnectFailed, ConnectionLost):
        return JobReadAnswer(is_owner=False)
    if answer.status != 200:
        return JobReadAnswer(is_owner=False)
    return msgspec.msgpack.decode(answer.body, type=JobReadAnswer)


__all__ = [
    "JOB_READ_PATH",
    "HANDOVER_PATH",
    "HandoverOutcome",
    "JobHandover",
    "JobReadRequest",
    "JobReadAnswer",
    "read_from_owner",
    "hand_over_job",
]
