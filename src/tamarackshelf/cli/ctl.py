"""Command line interface of tamarackshelf-ctl, the operators' tool."""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path
from typing import Any

import msgspec

from tamarackshelf.cli.explain import explain_subject
from tamarackshelf.cli.fetch import FetchFailed, fetch_json, fetch_pages
from tamarackshelf.cli.program import DeferredCommand, run_command
from tamarackshelf.controller.configuration_watch import RevisionStatus
from tamarackshelf.gateway.operators import (
    AcceptReply,
    CampaignEdit,
    DrainEdit,
    HistoryEntry,
    TemplateEdit,
)
from tamarackshelf.peers import View
from tamarackshelf.world import (
    Address,
    Campaign,
    Configuration,
    OrganisationParameters,
    digest_token,
    parse_address,
)

EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_NOT_IN_FORCE = 5


class Ctl:
    """Show and change the state of a fleet through one of its gateways.

    The operator's token is read from TAMARACKSHELF_TOKEN. Commands that call
    controllers or runners also read the fleet's secret from TAMARACKSHELF_SECRET.

    Args:
        gateway: ip:port of any gateway.
        author: name that is recorded as the author of changes.
        output: table (human readable) or json.
    """

    def __init__(
        self, gateway: str = "", author: str = "operator", output: str = "table"
    ) -> None:
        self._gateway = gateway
        self._author = author
        self._output = output

    def digest(self, token: str) -> DeferredCommand:
        """Print the digest of a token, for use in templates and settings."""
        return DeferredCommand(lambda: print(digest_token(str(token))))

    def status(self) -> DeferredCommand:
        """Show the entry VMs, the targets and the published weights."""
        return DeferredCommand(lambda: self._print_status(self._get("status", View)))

    def configuration(self) -> DeferredCommand:
        """Show the configuration that the gateway uses, as JSON."""
        return DeferredCommand(
            lambda: _print_json(self._get("configuration", Configuration))
        )

    def history(self) -> DeferredCommand:
        """Show the last revisions, their authors and what they changed."""

        def run() -> None:
            entries = self._get("history", tuple[HistoryEntry, ...])
            if self._output == "json":
                _print_json(entries)
                return
            for entry in entries:
                changed = ", ".join(entry.changed) or "nothing"
                print(f"{entry.revision:6} {entry.author:16} {changed}")

        return DeferredCommand(run)

    def accept_template(self, path: str, dry_run: bool = False) -> DeferredCommand:
        """Set the parameters of an organisation from a JSON file."""
        parameters = _read_file(path, OrganisationParameters)

        def run() -> None:
            current = self._get("configuration", Configuration)
            before = current.organisations.get(parameters.organisation)
            _print_difference(before, parameters)
            if not dry_run:
                edit = TemplateEdit(current.revision, self._author, parameters)
                self._accept("templates", edit)

        return DeferredCommand(run)

    def accept_campaign(self, path: str, dry_run: bool = False) -> DeferredCommand:
        """Create or replace a campaign from a JSON file."""
        campaign = _read_file(path, Campaign)

        def run() -> None:
            current = self._get("configuration", Configuration)
            _print_difference(current.campaigns.get(campaign.name), campaign)
            if not dry_run:
                edit = CampaignEdit(current.revision, self._author, campaign)
                self._accept("campaigns", edit)

        return DeferredCommand(run)

    def drain(self, vm: str, back: bool = False, yes: bool = False) -> DeferredCommand:
        """Stop giving an entry VM to callers, or give it to them again with --back."""

        def run() -> None:
            if not back and not yes:
                _exit(
                    f"draining {vm} reduces capacity; add --yes to confirm", EXIT_USAGE
                )
            current = self._get("configuration", Configuration)
            edit = DrainEdit(current.revision, self._author, vm, not back)
            self._accept("drains", edit)

        return DeferredCommand(run)

    def in_force(self) -> DeferredCommand:
        """Show each controller's revision and how many controllers have the newest.

        Exit with status 5 if a controller has an older revision than another one or
        does not respond.
        """

        def run() -> None:
            view = self._get("status", View)
            addresses = {v.entry.name: v.entry.controller for v in view.entries}
            heads = asyncio.run(_read_heads(addresses))
            newest = max((h.revision for h in heads.values() if h), default=0)
            count = sum(h is not None and h.revision == newest for h in heads.values())
            for name, head in sorted(heads.items()):
                print(f"{name:24} {'no response' if head is None else head.revision}")
            print(f"revision={newest} in_force={count} of={len(heads)}")
            if count < len(heads):
                sys.exit(EXIT_NOT_IN_FORCE)

        return DeferredCommand(run)

    def explain(self, kind: str, name: str) -> DeferredCommand:
        """Show the events of a request, sample, target, VM or campaign."""

        def run() -> None:
            view = self._get("status", View)
            pages, silent = asyncio.run(fetch_pages(view, self._token()))
            for line in explain_subject(kind, str(name), pages, silent):
                print(line)

        return DeferredCommand(run)

    def _get(self, path: str, kind: type[Any]) -> Any:
        return self._call("GET", f"/v1/operator/{path}", kind)

    def _accept(self, path: str, edit: object) -> None:
        reply = self._call("POST", f"/v1/operator/{path}", AcceptReply, edit)
        print(f"accepted revision {reply.revision}; ctl in-force shows its rollout")

    def _call(
        self, method: str, path: str, kind: type[Any], body: object = None
    ) -> Any:
        headers = {"authorization": f"Bearer {self._token()}"}
        try:
            address = parse_address(self._gateway)
        except ValueError:
            _exit("no valid gateway address; add --gateway=IP:PORT", EXIT_USAGE)
        try:
            return asyncio.run(fetch_json(address, method, path, kind, headers, body))
        except FetchFailed as error:
            _exit(str(error), EXIT_REFUSED)

    def _token(self) -> str:
        token = os.environ.get("TAMARACKSHELF_TOKEN", "")
        if not token:
            _exit("set TAMARACKSHELF_TOKEN to an operator's token", EXIT_USAGE)
        return token

    def _print_status(self, view: View) -> None:
        if self._output == "json":
            _print_json(view)
            return
        print(f"configuration revision {view.configuration.revision}")
        print(f"{'ENTRY VM':24} {'DATA CENTRE':16} {'STATUS':10} PROGRAMS")
        for entry in view.entries:
            vm = entry.entry
            roles = ",".join(entry.roles) or "-"
            print(f"{vm.name:24} {vm.data_centre:16} {entry.status:10} {roles}")
        print(f"{'TARGET':24} {'DATA CENTRE':16} {'STATUS':16} SERVICE")
        for item in view.targets:
            target = item.target
            place = target.data_centre
            print(f"{target.name:24} {place:16} {item.status:16} {target.service}")
        for model, version in sorted(view.published.items()):
            print(f"model {model} version {version}")


async def _read_heads(
    addresses: dict[str, Address],
) -> dict[str, RevisionStatus | None]:
    headers = {"x-fleet-secret": os.environ.get("TAMARACKSHELF_SECRET", "")}

    async def read(address: Address) -> RevisionStatus | None:
        try:
            heads: RevisionStatus = await fetch_json(
                address, "GET", "/v1/heads", RevisionStatus, headers, None
            )
        except FetchFailed:
            return None
        return heads

    answers = await asyncio.gather(*(read(a) for a in addresses.values()))
    return dict(zip(addresses, answers, strict=True))


def _read_file(path: str, kind: type[Any]) -> Any:
    try:
        return msgspec.json.decode(Path(path).read_bytes(), type=kind)
    except (OSError, msgspec.DecodeError) as error:
        _exit(f"cannot read {path}: {error}; correct the file", EXIT_USAGE)


def _print_difference(before: object, after: object) -> None:
    old = {} if before is None else msgspec.to_builtins(before)
    new = msgspec.to_builtins(after)
    for name in sorted(old.keys() | new.keys()):
        if old.get(name) != new.get(name):
            print(f"{name}: {old.get(name)} -> {new.get(name)}")


def _print_json(value: object) -> None:
    print(msgspec.json.format(msgspec.json.encode(value)).decode())


def _exit(message: str, status: int) -> Any:
    print(message, file=sys.stderr)
    sys.exit(status)


def main() -> None:
    """Run the program."""
    run_command(Ctl, "tamarackshelf-ctl")


if __name__ == "__main__":
    main()
