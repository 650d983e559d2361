"""Operators' interface: templates, campaigns, draining and status."""

from __future__ import annotations

import hmac
import itertools
from dataclasses import dataclass, replace

from returns.result import Success

from tamarackshelf.errors import BadRequest, Unauthorised
from tamarackshelf.gateway.caller import read_token
from tamarackshelf.net import Request, Response, to_json_response
from tamarackshelf.observe import Timeline
from tamarackshelf.peers import Report, ReportKind, View, ViewWatch
from tamarackshelf.state import TableClient
from tamarackshelf.state.configuration import Edit, accept_edit, read_history
from tamarackshelf.world import (
    Campaign,
    Configuration,
    OrganisationParameters,
    digest_token,
    is_operator,
)

ACCEPT_TIMEOUT_S = 5.0
HISTORY_LENGTH = 20


@dataclass(frozen=True, slots=True)
class TemplateEdit:
    """Sets an organisation's parameters on top of revision `based_on`."""

    based_on: int
    author: str
    parameters: OrganisationParameters


@dataclass(frozen=True, slots=True)
class CampaignEdit:
    """Adds or replaces a campaign on top of revision `based_on`."""

    based_on: int
    author: str
    campaign: Campaign


@dataclass(frozen=True, slots=True)
class DrainEdit:
    """Drains a VM, or takes it back, on top of revision `based_on`."""

    based_on: int
    author: str
    vm: str
    drained: bool = True


@dataclass(frozen=True, slots=True)
class AcceptReply:
    """The revision that is accepted; it never reverts."""

    revision: int


@dataclass(frozen=True, slots=True)
class HistoryEntry:
    """One accepted revision."""

    revision: int
    author: str
    changed: tuple[str, ...]


class OperatorApi:
    """Serves operators; `bootstrap_digest` is a token kept in the settings."""

    def __init__(
        self,
        watch: ViewWatch,
        table: TableClient,
        timeline: Timeline,
        bootstrap_digest: str,
    ) -> None:
        self._watch = watch
        self._table = table
        self._timeline = timeline
        self._bootstrap_digest = bootstrap_digest

    def authorise(self, request: Request) -> None:
        """Raises Unauthorised unless the token is an operator's."""
        token = read_token(request)
        digest = digest_token(token)
        is_bootstrap = bool(self._bootstrap_digest) and hmac.compare_digest(
            digest, self._bootstrap_digest
        )
        if not is_bootstrap and not is_operator(self._watch.view.configuration, token):
            raise Unauthorised("the token is no operator's; use an operator's token")

    async def edit_template(self, request: Request) -> Response:
        """Accepts the parameters of one organisation."""
        edit = request.decode(TemplateEdit)
        _check_parameters(edit.parameters)

        def change(configuration: Configuration) -> Configuration:
            name = edit.parameters.organisation
            organisations = {**configuration.organisations, name: edit.parameters}
            return replace(configuration, organisations=organisations)

        return await self._accept(edit.author, edit.based_on, change)

    async def edit_campaign(self, request: Request) -> Response:
        """Accepts a campaign."""
        edit = request.decode(CampaignEdit)

        def change(configuration: Configuration) -> Configuration:
            _check_campaign(edit.campaign, configuration)
            campaigns = {**configuration.campaigns, edit.campaign.name: edit.campaign}
            return replace(configuration, campaigns=campaigns)

        return await self._accept(edit.author, edit.based_on, change)

    async def drain(self, request: Request) -> Response:
        """Accepts that a VM is drained or taken back."""
        edit = request.decode(DrainEdit)

        def change(configuration: Configuration) -> Configuration:
            others = set(configuration.drained_vms) - {edit.vm}
            drained = others | {edit.vm} if edit.drained else others
            return replace(configuration, drained_vms=tuple(sorted(drained)))

        return await self._accept(edit.author, edit.based_on, change)

    async def show_configuration(self) -> Response:
        """Returns the configuration in force at this VM."""
        return to_json_response(self._watch.view.configuration)

    async def show_status(self) -> Response:
        """Returns the fleet as this VM sees it, without token digests."""
        view = self._watch.view
        return to_json_response(replace(view, configuration=_hide_digests(view)))

    async def show_history(self) -> Response:
        """Returns who accepted the last revisions and what they changed."""
        newest = self._watch.view.configuration.revision
        bodies = await read_history(self._table, newest, HISTORY_LENGTH + 1)
        pairs = itertools.zip_longest(bodies, bodies[1:], fillvalue=Configuration())
        entries = [describe_change(before, after) for after, before in pairs]
        return to_json_response(entries[:HISTORY_LENGTH])

    async def _accept(self, author: str, based_on: int, edit: Edit) -> Response:
        result = await accept_edit(
            self._table, author, based_on, edit, ACCEPT_TIMEOUT_S
        )
        if not isinstance(result, Success):
            raise result.failure()
        revision = result.unwrap().revision
        self._timeline.record("configuration_accepted", str(revision), author)
        # Peers know of the revision before the operator does, so that it is in
        # force everywhere even when this VM dies now.
        await self._watch.report(Report(ReportKind.ACCEPTED, author, revision))
        return to_json_response(AcceptReply(revision))


def describe_change(before: Configuration, after: Configuration) -> HistoryEntry:
    """Returns what a revision changed; token digests are not shown."""
    changed = [
        f"template {name}"
        for name, parameters in after.organisations.items()
        if before.organisations.get(name) != parameters
    ]
    changed += [
        f"campaign {name}"
        for name, campaign in after.campaigns.items()
        if before.campaigns.get(name) != campaign
    ]
    if before.drained_vms != after.drained_vms:
        changed.append(f"drained VMs {', '.join(after.drained_vms) or 'none'}")
    return HistoryEntry(after.revision, after.author, tuple(changed))


def _hide_digests(view: View) -> Configuration:
    configuration = view.configuration
    organisations = {
        name: replace(parameters, token_digests=())
        for name, parameters in configuration.organisations.items()
    }
    return replace(configuration, organisations=organisations, operator_digests=())


def _check_parameters(parameters: OrganisationParameters) -> None:
    faults = []
    if not parameters.organisation:
        faults.append("organisation is empty")
    if parameters.staleness_bound_versions < 0:
        faults.append("staleness_bound_versions is below 0")
    if parameters.staleness_bound_s is not None and parameters.staleness_bound_s <= 0:
        faults.append("staleness_bound_s is not above 0")
    if parameters.max_concurrent < 1:
        faults.append("max_concurrent is below 1")
    unknown = set(parameters.key_required_routes) - set(
        parameters.non_idempotent_routes
    )
    if unknown:
        faults.append(f"key_required_routes {sorted(unknown)} are not non-idempotent")
    if faults:
        raise BadRequest("; ".join(faults) + "; correct them and accept again")


def _check_campaign(campaign: Campaign, configuration: Configuration) -> None:
    parameters = configuration.organisations.get(campaign.organisation)
    if parameters is None:
        raise BadRequest("the campaign's organisation has no template; accept one")
    if campaign.model not in parameters.models:
        raise BadRequest("the campaign's model is not in the template; add it there")
    if "." in campaign.name or not campaign.name:
        raise BadRequest("the campaign's name is empty or has a dot; rename it")


__all__ = [
    "AcceptReply",
    "CampaignEdit",
    "DrainEdit",
    "HistoryEntry",
    "OperatorApi",
    "TemplateEdit",
    "describe_change",
]
