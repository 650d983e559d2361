"""HTTP interface for operators: templates, campaigns, draining and status."""

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
    """Request to set an organisation's parameters on top of revision `based_on`."""

    based_on: int
    author: str
    parameters: OrganisationParameters


@dataclass(frozen=True, slots=True)
class CampaignEdit:
    """Request to add or replace a campaign on top of revision `based_on`."""

    based_on: int
    author: str
    campaign: Campaign


@dataclass(frozen=True, slots=True)
class DrainEdit:
    """Request to drain a VM, or end its draining, on top of revision `based_on`."""

    based_on: int
    author: str
    vm: str
    drained: bool = True


@dataclass(frozen=True, slots=True)
class AcceptReply:
    """Number of the accepted revision, which is never reverted."""

    revision: int


@dataclass(frozen=True, slots=True)
class HistoryEntry:
    """An accepted revision, its author and what it changed."""

    revision: int
    author: str
    changed: tuple[str, ...]


class OperatorApi:
    """Authenticates operators and serves their requests.

    `bootstrap_digest` is the digest of an operator token from the gateway's own
    settings, which is valid whatever the configuration says.
    """

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
        """Raise Unauthorised unless the request carries an operator's token."""
        token = read_token(request)
        digest = digest_token(token)
        is_bootstrap = bool(self._bootstrap_digest) and hmac.compare_digest(
            digest, self._bootstrap_digest
        )
        if not is_bootstrap and not is_operator(self._watch.view.configuration, token):
            raise Unauthorised(
                "the token is not an operator's token; send an operator's token"
            )

    async def edit_template(self, request: Request) -> Response:
        """Accept new parameters of one organisation as the next revision."""
        edit = request.decode(TemplateEdit)
        _validate_parameters(edit.parameters)

        def change(configuration: Configuration) -> Configuration:
            name = edit.parameters.organisation
            organisations = {**configuration.organisations, name: edit.parameters}
            return replace(configuration, organisations=organisations)

        return await self._accept(edit.author, edit.based_on, change)

    async def edit_campaign(self, request: Request) -> Response:
        """Accept a new or changed campaign as the next revision."""
        edit = request.decode(CampaignEdit)

        def change(configuration: Configuration) -> Configuration:
            _validate_campaign(edit.campaign, configuration)
            campaigns = {**configuration.campaigns, edit.campaign.name: edit.campaign}
            return replace(configuration, campaigns=campaigns)

        return await self._accept(edit.author, edit.based_on, change)

    async def drain(self, request: Request) -> Response:
        """Accept the draining of a VM, or its end, as the next revision."""
        edit = request.decode(DrainEdit)

        def change(configuration: Configuration) -> Configuration:
            others = set(configuration.drained_vms) - {edit.vm}
            drained = others | {edit.vm} if edit.drained else others
            return replace(configuration, drained_vms=tuple(sorted(drained)))

        return await self._accept(edit.author, edit.based_on, change)

    async def show_configuration(self) -> Response:
        """Return the configuration that is in force on this VM."""
        return to_json_response(self._watch.view.configuration)

    async def show_status(self) -> Response:
        """Return this VM's view of the fleet, without token digests."""
        view = self._watch.view
        return to_json_response(replace(view, configuration=_hide_digests(view)))

    async def show_history(self) -> Response:
        """Return the last HISTORY_LENGTH revisions, newest first."""
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
        # The fleet is told of the revision before the operator gets the reply, so that
        # an acknowledged revision takes effect everywhere even if this VM then crashes.
        await self._watch.report(Report(ReportKind.ACCEPTED, author, revision))
        return to_json_response(AcceptReply(revision))


def describe_change(before: Configuration, after: Configuration) -> HistoryEntry:
    """Return what a revision changed, by name; token digests are left out."""
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


def _validate_parameters(parameters: OrganisationParameters) -> None:
    problems = []
    if not parameters.organisation:
        problems.append("organisation is empty")
    if parameters.staleness_bound_versions < 0:
        problems.append("staleness_bound_versions is below 0")
    if parameters.staleness_bound_s is not None and parameters.staleness_bound_s <= 0:
        problems.append("staleness_bound_s is not above 0")
    if parameters.max_concurrent < 1:
        problems.append("max_concurrent is below 1")
    unknown = set(parameters.key_required_routes) - set(
        parameters.non_idempotent_routes
    )
    if unknown:
        problems.append(
            f"key_required_routes {sorted(unknown)} are not in non_idempotent_routes"
        )
    if problems:
        raise BadRequest(
            "; ".join(problems) + "; correct the parameters and accept them again"
        )


def _validate_campaign(campaign: Campaign, configuration: Configuration) -> None:
    parameters = configuration.organisations.get(campaign.organisation)
    if parameters is None:
        raise BadRequest(
            "the campaign's organisation has no template; accept a template first"
        )
    if campaign.model not in parameters.models:
        raise BadRequest(
            "the campaign's model is not in the organisation's template; add it there"
        )
    if "." in campaign.name or not campaign.name:
        raise BadRequest(
            "the campaign's name is empty or contains a dot; choose another name"
        )


__all__ = [
    "AcceptReply",
    "CampaignEdit",
    "DrainEdit",
    "HistoryEntry",
    "OperatorApi",
    "TemplateEdit",
    "describe_change",
]
