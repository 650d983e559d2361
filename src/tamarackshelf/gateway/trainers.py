"""HTTP interface for trainers: open steps, pull samples, announce weights."""

from __future__ import annotations

import asyncio
import contextlib
import uuid
from dataclasses import dataclass

from tamarackshelf.errors import (
    BadRequest,
    CursorRequired,
    NoTarget,
    NotFound,
    PullSuperseded,
    ShelfError,
    StoreUnavailable,
)
from tamarackshelf.gateway.caller import Caller
from tamarackshelf.net import Request, Response, to_json_response
from tamarackshelf.net.rpc import PeerRefused, PeerUnreachable, RpcClient
from tamarackshelf.observe import Timeline
from tamarackshelf.peers import Report, ReportKind, Role, View, ViewWatch
from tamarackshelf.peers.messages import (
    PULL,
    STEP_OPENED,
    PullAnswer,
    PullRequest,
    StepOpened,
)
from tamarackshelf.policy.ownership import rank_owners
from tamarackshelf.state import TableClient
from tamarackshelf.state.published import Published, publish
from tamarackshelf.state.steps import open_step
from tamarackshelf.world import Address, Campaign, Step

MAX_SLOTS = 16_384
MAX_PULL_SAMPLES = 1024
MAX_PULL_WAIT_S = 20.0
MAX_BROADCAST_BYTES = 4 * 1024 * 1024
NOTIFY_TIMEOUT_S = 0.5
PUBLISH_RETRY_INTERVAL_S = 0.5
MAX_PUBLISH_ATTEMPTS = 1200

_ERRORS_BY_KIND: dict[str, type[ShelfError]] = {
    error.kind: error
    for error in (
        BadRequest,
        CursorRequired,
        NotFound,
        PullSuperseded,
        StoreUnavailable,
    )
}


@dataclass(frozen=True, slots=True)
class StepBody:
    """JSON body of a request to open a step."""

    name: str
    prompts: tuple[str, ...]
    group_size: int
    weight_version: int
    max_tokens: int = 256


@dataclass(frozen=True, slots=True)
class StepReply:
    """JSON body of the reply: the step's name for pulls and its number of samples."""

    step: str
    slot_count: int


@dataclass(frozen=True, slots=True)
class PullBody:
    """JSON body of a pull; `cursor` is None in the first pull of a step."""

    cursor: str | None = None
    newest_version: int = 0
    pull_id: str = ""
    max_samples: int = 256
    wait_s: float = 5.0
    rewind: bool = False


@dataclass(frozen=True, slots=True)
class PublishBody:
    """JSON body that announces a published weight version, and of the reply to it."""

    version: int


class TrainerApi:
    """Serves trainers; pulls are forwarded to the runners, which hold the samples."""

    def __init__(
        self, watch: ViewWatch, rpc: RpcClient, table: TableClient, timeline: Timeline
    ) -> None:
        self._watch = watch
        self._rpc = rpc
        self._table = table
        self._timeline = timeline
        self._tasks: set[asyncio.Task[None]] = set()

    async def open_step(
        self, campaign: str, caller: Caller, request: Request
    ) -> Response:
        """Write the step to the table service and notify the runners.

        The notices contain the step unless that would be more than MAX_BROADCAST_BYTES
        for all runners together; then the runners read it from the table.
        """
        body = request.decode(StepBody)
        view = self._watch.get_ready_view()
        self._find_campaign(view, campaign, caller)
        step = _build_step(campaign, body)
        await open_step(self._table, step, caller.deadline_s - _now_s())
        self._timeline.record("step_opened", step.name, slots=step.slot_count)
        runners = view.find_entries(Role.RUNNER)
        is_small = len(request.body) * len(runners) <= MAX_BROADCAST_BYTES
        message = StepOpened(step.name, step if is_small else None)
        await asyncio.gather(
            *(self._notify_runner(e.runner_peer, message) for e in runners)
        )
        return to_json_response(StepReply(step.name, step.slot_count))

    async def pull(self, step: str, caller: Caller, request: Request) -> Response:
        """Forward a pull to the runner that owns the step and return its samples.

        If that runner is unreachable, forward the pull to the next one in rank.
        """
        body = request.decode(PullBody)
        view = self._watch.get_ready_view()
        self._find_campaign(view, step.partition(".")[0], caller)
        wait_s = min(MAX_PULL_WAIT_S, max(0.0, body.wait_s))
        pull = PullRequest(
            step=step,
            pull_id=body.pull_id or uuid.uuid4().hex,
            cursor=body.cursor,
            newest_version=body.newest_version,
            max_samples=max(1, min(MAX_PULL_SAMPLES, body.max_samples)),
            wait_s=wait_s,
            rewind=body.rewind,
        )
        return to_json_response(await self._forward(view, pull))

    async def announce_version(
        self, model: str, caller: Caller, request: Request
    ) -> Response:
        """Announce a new weight version by gossip and write it to the table service.

        The write is retried in the background up to MAX_PUBLISH_ATTEMPTS times. Gossip
        may be ahead of the table, because only the highest version of a model counts.
        """
        body = request.decode(PublishBody)
        if model not in caller.organisation.models:
            raise BadRequest(
                f"model {model} is not enabled for this organisation; check the name"
            )
        if body.version < 1:
            raise BadRequest(
                "the version is below 1; send the version that was published"
            )
        report = Report(ReportKind.PUBLISHED, model, body.version)
        if not await self._watch.report(report):
            raise StoreUnavailable(
                "the controller of this VM is unreachable; announce the version again"
            )
        self._timeline.record("weights_published", model, version=body.version)
        task = asyncio.get_running_loop().create_task(
            self._write_published(Published(model, body.version))
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return to_json_response(body)

    async def close(self) -> None:
        """Cancel pending writes of versions, which gossip has announced already."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _forward(self, view: View, pull: PullRequest) -> PullAnswer:
        runners = {e.name: e.runner_peer for e in view.find_entries(Role.RUNNER)}
        for name in rank_owners(runners, pull.step):
            try:
                answer = await self._rpc.call(
                    runners[name], PULL, pull, pull.wait_s + 5.0
                )
            except PeerUnreachable:
                continue
            except PeerRefused as refusal:
                error_type = _ERRORS_BY_KIND.get(refusal.kind, ShelfError)
                raise error_type(refusal.message) from refusal
            assert isinstance(answer, PullAnswer)
            return answer
        raise NoTarget("no runner is reachable; pull again later", retry_after_s=1.0)

    def _find_campaign(self, view: View, name: str, caller: Caller) -> Campaign:
        campaign = view.configuration.campaigns.get(name)
        organisation = caller.organisation.organisation
        if campaign is None or campaign.organisation != organisation:
            raise NotFound(f"campaign {name} does not exist; ask an operator for it")
        return campaign

    async def _notify_runner(self, address: Address, message: StepOpened) -> None:
        with contextlib.suppress(PeerUnreachable, PeerRefused):
            await self._rpc.call(address, STEP_OPENED, message, NOTIFY_TIMEOUT_S)

    async def _write_published(self, published: Published) -> None:
        for _ in range(MAX_PUBLISH_ATTEMPTS):
            try:
                await publish(self._table, published, 2.0)
            except StoreUnavailable:
                await asyncio.sleep(PUBLISH_RETRY_INTERVAL_S)
            else:
                return


def _build_step(campaign: str, body: StepBody) -> Step:
    slot_count = len(body.prompts) * body.group_size
    if not body.name.isidentifier() and not body.name.isalnum():
        raise BadRequest(
            "the step's name is neither an identifier nor made only of letters and "
            "digits; rename it"
        )
    if body.group_size < 1 or not 1 <= slot_count <= MAX_SLOTS:
        raise BadRequest(
            f"the step asks for {slot_count} samples; ask for 1 to {MAX_SLOTS}"
        )
    return Step(
        name=f"{campaign}.{body.name}",
        campaign=campaign,
        prompts=body.prompts,
        group_size=body.group_size,
        weight_version=body.weight_version,
        max_tokens=body.max_tokens,
    )


def _now_s() -> float:
    return asyncio.get_running_loop().time()


__all__ = ["PublishBody", "PullBody", "StepBody", "StepReply", "TrainerApi"]
