"""Settings: precedence of their sources and reports of all faults at once."""

from __future__ import annotations

import os
import subprocess
import sys

import pytest
from returns.result import Success

from tamarackshelf.cli import gateway, runner
from tamarackshelf.cli.settings import read_settings

GOOD = {
    "TAMARACKSHELF_VM": "vm1",
    "TAMARACKSHELF_DATA_CENTRE": "a",
    "TAMARACKSHELF_LISTEN": "127.0.0.1:1",
    "TAMARACKSHELF_PEER_LISTEN": "127.0.0.1:2",
    "TAMARACKSHELF_CONTROLLER": "127.0.0.1:3",
    "TAMARACKSHELF_TABLE": "127.0.0.1:4",
    "TAMARACKSHELF_SECRET": "a-secret-of-the-fleet",
}


def test_flags_override_variables_and_variables_override_defaults():
    flags = {"vm": "vm2", "seed": None}
    values = read_settings(gateway.SETTINGS, flags, {**GOOD, "TAMARACKSHELF_SEED": "7"})
    assert isinstance(values, Success)
    assert values.unwrap()["vm"] == "vm2"
    assert values.unwrap()["seed"] == 7
    assert values.unwrap()["log_format"] == "text"


def test_every_fault_is_listed_with_its_remedy():
    environment = {**GOOD, "TAMARACKSHELF_LISTEN": "localhost:1"}
    del environment["TAMARACKSHELF_VM"]
    flags = {"table": "127.0.0.1:99999", "log_format": "xml"}
    faults = read_settings(runner.SETTINGS, flags, environment).failure()
    messages = {fault.setting: fault.message for fault in faults}
    assert set(messages) == {"vm", "listen", "table", "log_format"}
    assert "--vm or TAMARACKSHELF_VM" in messages["vm"]


def test_secret_is_not_in_the_message():
    environment = {**GOOD, "TAMARACKSHELF_SECRET": "short"}
    faults = read_settings(runner.SETTINGS, {}, environment).failure()
    assert [fault.setting for fault in faults] == ["secret"]
    assert "short" not in faults[0].message


def run_program(name, *flags, **variables):
    environment = {**os.environ, **GOOD, **variables}
    return subprocess.run(
        [sys.executable, "-m", f"tamarackshelf.cli.{name}", *flags],
        env=environment,
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )


@pytest.mark.parametrize(
    ("flags", "status", "text"),
    [
        (["--check"], 0, "settings are valid"),
        (["--check", "--listen=nowhere", "--table=x"], 2, "setting table"),
        (["--no-such-flag=1"], 2, "no-such-flag"),
        (["--help"], 0, "ip:port for callers"),
    ],
)
def test_gateway_command_line(flags, status, text):
    done = run_program("gateway", *flags)
    assert done.returncode == status
    assert text in done.stdout + done.stderr


def test_error_without_a_token_names_the_variable():
    done = run_program("ctl", "status", "--gateway=127.0.0.1:1")
    assert done.returncode == 2
    assert "TAMARACKSHELF_TOKEN" in done.stderr
