"""Calls between peers that read a job from its owner or hand over a running job."""

from __future__ import annotations

import enum
import logging
from dataclasses import dataclass

import msgspec

from tamarackshelf.decoding import InvalidInput, decode_msgpack
from tamarackshelf.net import ConnectFailed, ConnectionLost, HttpClient
from tamarackshelf.node.peer_statuses import is_not_carried_out
from tamarackshelf.store.job_store import StoredHead
from tamarackshelf.world import Address
from tamarackshelf.world.job import ItemProgress, ItemResult, Job

JOB_READ_PATH = "/job-read"
HANDOVER_PATH = "/job-take"
# Enough for a peer to accept a job with its texts, which has a few hundred kilobytes.
HANDOVER_TIMEOUT_S = 1.0
# The users' smallest VMs have links of 30 Mbit/s.
SLOWEST_LINK_BYTES_PER_S = 30e6 / 8
# Callers, for whom a node reads results from the owner, wait little more than a second
# for a page.
READ_TIMEOUT_S = 0.6

log = logging.getLogger("tamarackshelf")


@dataclass(frozen=True, slots=True)
class JobReadRequest:
    """A request for a job's stored results, without the first `after` ones.

    With `with_job`, the answer also contains the job itself.
    """

    job_id: str
    after: int
    with_job: bool


@dataclass(frozen=True, slots=True)
class JobReadAnswer:
    """The results that the owner has stored; empty when the node is not the owner.

    `knows_results` is False on a node that accepted a hand-over and has not claimed the
    job in the store yet, because the previous owner may have stored more results.
    """

    is_owner: bool
    knows_results: bool = True
    total: int = 0
    results: tuple[ItemResult, ...] = ()
    job: Job | None = None


@dataclass(frozen=True, slots=True)
class JobHandover:
    """A running job that its owner hands over to a peer.

    The `listed` results are stored, the `unlisted` ones are not; `texts` holds the
    progress of unfinished items.
    """

    job: Job
    stored: StoredHead
    listed: tuple[ItemResult, ...]
    unlisted: tuple[ItemResult, ...]
    texts: tuple[ItemProgress, ...]


class HandoverOutcome(enum.Enum):
    """The outcome of a hand-over; only after REFUSED may another peer be asked."""

    TAKEN = "taken"
    REFUSED = "refused"
    UNCERTAIN = "uncertain"


async def hand_over_job(
    http: HttpClient,
    address: Address,
    handover: JobHandover,
    timeout_s: float = HANDOVER_TIMEOUT_S,
) -> HandoverOutcome:
    """Offer a job to a peer and return the outcome as far as it is known.

    The time that the job's bytes take on a slow link is added to `timeout_s`.
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
    if answer.status == 200:
        return HandoverOutcome.TAKEN
    if answer.status == 409 or is_not_carried_out(answer.status):
        return HandoverOutcome.REFUSED
    return HandoverOutcome.UNCERTAIN


async def read_from_owner(
    http: HttpClient, address: Address, request: JobReadRequest
) -> JobReadAnswer:
    """Return the owner's answer; treat an unreachable node as not being the owner."""
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
    try:
        return decode_msgpack(answer.body, JobReadAnswer)
    except InvalidInput as error:
        event = {"peer": str(address), "reason": str(error)}
        log.warning("peer_answer_unreadable", extra={"event": event})
        return JobReadAnswer(is_owner=False)


__all__ = [
    "HANDOVER_PATH",
    "JOB_READ_PATH",
    "HandoverOutcome",
    "JobHandover",
    "JobReadAnswer",
    "JobReadRequest",
    "hand_over_job",
    "read_from_owner",
]
