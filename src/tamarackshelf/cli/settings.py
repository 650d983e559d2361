"""Settings from flags, environment variables and defaults, in this precedence."""

from __future__ import annotations

import os
import sys
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, fields
from typing import Any, NoReturn, TypeVar

from returns.result import Failure, Result, Success

from tamarackshelf.world import parse_address

ENVIRONMENT_PREFIX = "TAMARACKSHELF_"
EXIT_BAD_SETTINGS = 2

Parser = Callable[[str], Any]
T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class Setting:
    """Definition of a setting; one without a default is required."""

    name: str
    parse: Parser
    default: str | None = None
    is_secret: bool = False

    @property
    def variable(self) -> str:
        """Name of the environment variable."""
        return ENVIRONMENT_PREFIX + self.name.upper()

    @property
    def flag(self) -> str:
        """Name of the command line flag."""
        return "--" + self.name.replace("_", "-")


@dataclass(frozen=True, slots=True)
class Fault:
    """An invalid or missing setting; `message` names the remedy."""

    setting: str
    message: str


@dataclass(frozen=True, slots=True)
class Values:
    """Validated values by the names of their settings."""

    by_name: dict[str, Any] = field(default_factory=dict)

    def __getitem__(self, name: str) -> Any:
        return self.by_name[name]

    def build(self, kind: type[T], **others: object) -> T:
        """Return an instance of a settings class, with values matched by field name."""
        names = {each.name for each in fields(kind)}  # type: ignore[arg-type]
        own = {name: v for name, v in self.by_name.items() if name in names}
        return kind(**own, **others)


def parse_text(text: str) -> str:
    """Return the text; raise ValueError if it is empty."""
    if not text:
        raise ValueError("it is empty")
    return text


def parse_secret(text: str) -> str:
    """Return the secret; raise ValueError if it has fewer than 16 characters."""
    if len(text) < 16:
        raise ValueError("it has fewer than 16 characters")
    return text


def parse_positive(text: str) -> float:
    """Parse a number; raise ValueError unless it is above zero."""
    value = float(text)
    if not value > 0:
        raise ValueError("it is not above 0")
    return value


def parse_integer(text: str) -> int:
    """Parse an integer; raise ValueError if the text is not one."""
    return int(text)


def parse_log_format(text: str) -> str:
    """Return the log format; raise ValueError if it is neither text nor json."""
    if text not in ("text", "json"):
        raise ValueError("it is neither text nor json")
    return text


def parse_digest(text: str) -> str:
    """Return a hexadecimal SHA-256 digest or an empty text, or raise ValueError."""
    if text and (len(text) != 64 or not set(text) <= set("0123456789abcdef")):
        raise ValueError("it is not a SHA-256 digest; create one with ctl digest TOKEN")
    return text


VM = Setting("vm", parse_text)
DATA_CENTRE = Setting("data_centre", parse_text)
LISTEN = Setting("listen", parse_address)
PEER_LISTEN = Setting("peer_listen", parse_address)
CONTROLLER = Setting("controller", parse_address)
TABLE = Setting("table", parse_address)
VM_LIST = Setting("vm_list", parse_address)
GOSSIP = Setting("gossip", parse_address)
SECRET = Setting("secret", parse_secret, is_secret=True)
OPERATOR_DIGEST = Setting("operator_digest", parse_digest, "")
LOG_FORMAT = Setting("log_format", parse_log_format, "text")
SEED = Setting("seed", parse_integer, "0")


def read_settings(
    settings: tuple[Setting, ...],
    flags: Mapping[str, object],
    environment: Mapping[str, str],
) -> Result[Values, tuple[Fault, ...]]:
    """Return all values, or all faults if there are any."""
    values: dict[str, Any] = {}
    faults = []
    for setting in settings:
        text = _find_text(setting, flags, environment)
        if text is None:
            message = f"it is missing; set {_name_sources(setting)}"
            faults.append(Fault(setting.name, message))
            continue
        try:
            values[setting.name] = setting.parse(text)
        except ValueError as error:
            shown = "" if setting.is_secret else f" {text!r}"
            message = f"the value{shown} is not valid: {error}; correct it"
            faults.append(Fault(setting.name, message))
    return Failure(tuple(faults)) if faults else Success(Values(values))


def require_settings(
    settings: tuple[Setting, ...], flags: Mapping[str, object]
) -> Values:
    """Return the values, or print all faults to stderr and exit with status 2."""
    result = read_settings(settings, flags, os.environ)
    if not isinstance(result, Success):
        exit_with_faults(result.failure())
    values: Values = result.unwrap()
    return values


def exit_with_faults(faults: tuple[Fault, ...]) -> NoReturn:
    """Print the faults to stderr and exit with status 2."""
    for fault in faults:
        print(f"setting {fault.setting}: {fault.message}", file=sys.stderr)
    sys.exit(EXIT_BAD_SETTINGS)


def _find_text(
    setting: Setting, flags: Mapping[str, object], environment: Mapping[str, str]
) -> str | None:
    flag = flags.get(setting.name)
    if flag is not None and not setting.is_secret:
        return str(flag)
    return environment.get(setting.variable, setting.default)


def _name_sources(setting: Setting) -> str:
    if setting.is_secret:
        return setting.variable
    return f"{setting.flag} or {setting.variable}"


__all__ = [
    "CONTROLLER",
    "DATA_CENTRE",
    "EXIT_BAD_SETTINGS",
    "GOSSIP",
    "LISTEN",
    "LOG_FORMAT",
    "OPERATOR_DIGEST",
    "PEER_LISTEN",
    "SECRET",
    "SEED",
    "TABLE",
    "VM",
    "VM_LIST",
    "Fault",
    "Setting",
    "Values",
    "exit_with_faults",
    "parse_integer",
    "parse_positive",
    "parse_text",
    "read_settings",
    "require_settings",
]
