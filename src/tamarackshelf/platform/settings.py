"""Loading of the platform's settings file into NodeSettings."""

from __future__ import annotations

from pathlib import Path

from tamarackshelf.node.settings import (
    DutySettings,
    InvalidSettings,
    NodeSettings,
    StoreBudget,
)
from tamarackshelf.world import Address, parse_address

SETTINGS_VARIABLE = "TAMARACKSHELF_CONFIG"

# With fewer, nothing is left for calls to targets.
MIN_DESCRIPTORS = 64
# Smaller budgets have no room for the heads of a few requests.
MIN_BUFFER_BYTES = 256 * 1024
DEFAULT_BODY_BYTES_PER_S = 16 * 1024


def load_settings(path: Path) -> NodeSettings:
    """Read the settings file and ignore unknown fields.

    Raise InvalidSettings if the file is unreadable or a field is missing or invalid.
    """
    try:
        lines = path.read_text().splitlines()
    except OSError as error:
        raise InvalidSettings(
            f"cannot read {path}: {error}; name a readable file"
        ) from error
    fields = dict(line.split("=", 1) for line in lines if "=" in line)
    try:
        return _to_settings(fields)
    except KeyError as error:
        raise InvalidSettings(f"{path} has no field {error}; add it") from error
    except ValueError as error:
        raise InvalidSettings(
            f"{path} has an invalid field: {error}; correct it"
        ) from error


def _to_settings(fields: dict[str, str]) -> NodeSettings:
    first_port, last_port = (int(p) for p in fields["portRange"].split(","))
    return NodeSettings(
        vm=fields["nodeName"],
        data_centre=fields["zone"],
        region=fields["region"],
        host=fields["ip"],
        callers_address=parse_address(fields["listen.front"]),
        ready_address=parse_address(fields["listen.ready"]),
        directory_address=parse_address(fields["listen.directory"]),
        # Despite its name, listen.control is an address that only other nodes call.
        seed_address=_parse_optional(fields.get("listen.control", "")),
        # Addresses of at most three nodes, which may be down or no longer exist.
        seeds=tuple(
            parse_address(text)
            for text in fields.get("seedNodes", "").split(",")
            if text
        ),
        # Port range for traffic between nodes.
        peer_ports=(first_port, last_port),
        store_address=parse_address(fields["provider.address"]),
        store_budget=StoreBudget(
            reads_per_s=float(fields["provider.readsPerS"]),
            writes_per_s=float(fields["provider.writesPerS"]),
            row_bytes=int(fields["provider.rowBytes"]),
        ),
        grace_s=float(fields["bounds.gracePeriodS"]),
        lease_s=float(fields["bounds.leaseTtlMs"]) / 1000,
        entries_valid_max_s=float(fields["bounds.ttl_max_s"]),
        results_kept_s=float(fields["bounds.statusS"]),
        targets_check_fencing=fields["bounds.fencing"] == "true",
        # cpuShare is a share of one core that is cpuCores times as fast as usual.
        cores=float(fields.get("limits.cpuShare", "1"))
        * float(fields.get("limits.cpuCores", "1")),
        memory_bytes=_parse_memory(fields.get("limits.memoryMb", "")),
        max_descriptors=_parse_count(fields, "limits.maxFds", MIN_DESCRIPTORS),
        max_caller_connections=_parse_count(fields, "limits.callerConnections", 1),
        buffer_bytes=_parse_count(fields, "limits.bufferBytes", MIN_BUFFER_BYTES),
        min_body_bytes_per_s=_parse_count(fields, "limits.bodyBytesPerS", 1)
        or DEFAULT_BODY_BYTES_PER_S,
        duties=_parse_duties(fields),
    )


def _parse_duties(fields: dict[str, str]) -> DutySettings | None:
    """Return the duties that the platform names, or None if it takes no calls."""
    if not fields.get("cloudApi.address"):
        return None
    tasks = fields.get("cloudApi.tasks", "").split(",")
    return DutySettings(
        address=parse_address(fields["cloudApi.address"]),
        calls_per_s=float(fields["cloudApi.dutyPerS"]),
        reports_usage="usage_report" in tasks,
        orders_workers="autoscale" in tasks,
        checks_fencing=fields["bounds.fencing"] == "true",
        report_window_s=float(fields.get("bounds.reportWindowS", "5")),
        report_late_s=float(fields.get("bounds.usageLateS", "10")),
    )


def _parse_memory(text: str) -> int | None:
    """Return a number of MB in bytes; none or 0 means that no limit is known."""
    return int(float(text) * 1024 * 1024) or None if text else None


def _parse_count(fields: dict[str, str], name: str, least: int) -> int | None:
    """Return a number of at least `least`, or None if the field is absent or empty."""
    text = fields.get(name, "")
    if not text:
        return None
    number = int(text)
    if number < least:
        raise ValueError(f"{name} is {number}, and must be {least} or more")
    return number


def _parse_optional(text: str) -> Address | None:
    return parse_address(text) if text else None


__all__ = ["SETTINGS_VARIABLE", "load_settings"]
