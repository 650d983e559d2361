"""The settings file of the platform: good, incomplete, wrong and reloaded."""

from __future__ import annotations

import asyncio
import logging
import os
import signal

import pytest

from tamarackshelf.cli.node import _reload
from tamarackshelf.platform.settings import BadSettings, load_settings
from tamarackshelf.world import Address

GOOD = """\
nodeName=edge-vestland-a-1
zone=vestland-a
region=vestland
ip=10.1.0.35
listen.front=10.1.0.35:8144
listen.ready=10.1.0.35:8140
listen.directory=10.1.0.35:8143
portRange=7660,7675
bootstrap=true
bounds.gracePeriodS=8
bounds.drainMs=2000
bounds.leaseTtlMs=3000
bounds.ttl_max_s=5
bounds.fencing=true
provider.address=10.200.1.7:8142
provider.writesPerS=800
provider.readsPerS=2000
provider.rowBytes=65536
some.newField=1,2=3
"""


@pytest.fixture
def path(tmp_path):
    path = tmp_path / "settings.conf"
    path.write_text(GOOD)
    return path


def test_settings_are_read_and_unknown_fields_ignored(path):
    settings = load_settings(path)
    assert settings.vm == "edge-vestland-a-1"
    assert settings.peer_address == Address("10.1.0.35", 7660)
    assert settings.lease_s == 3.0
    assert settings.targets_check_fencing
    assert settings.metrics_address is None


@pytest.mark.parametrize(
    ("before", "after", "named"),
    [
        ("zone=vestland-a\n", "", "zone"),
        ("listen.front=10.1.0.35:8144", "listen.front=edge:8144", "edge"),
        ("provider.rowBytes=65536", "provider.rowBytes=many", "many"),
        ("portRange=7660,7675", "portRange=7660", "unpack"),
    ],
)
def test_wrong_settings_end_the_start_with_a_reason(path, before, after, named):
    path.write_text(GOOD.replace(before, after))
    with pytest.raises(BadSettings, match=named):
        load_settings(path)


def test_missing_file_is_named(tmp_path):
    with pytest.raises(BadSettings, match="nothing.conf"):
        load_settings(tmp_path / "nothing.conf")


@pytest.mark.parametrize(
    ("text", "event"),
    [
        (GOOD, "settings_reloaded"),
        (GOOD.replace("65536", "x"), "settings_refused"),
        (GOOD.replace("vestland-a\n", "vestland-b\n"), "settings_reloaded"),
    ],
    ids=["unchanged", "wrong", "changed"],
)
def test_hangup_reads_the_settings_again_and_the_process_goes_on(path, text, event):
    settings = load_settings(path)
    path.write_text(text)
    seen = []
    handler = logging.Handler()
    handler.emit = lambda record: seen.append(record.getMessage())
    log = logging.getLogger("tamarackshelf")
    level = log.level
    log.addHandler(handler)
    log.setLevel(logging.INFO)

    async def scenario():
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, _reload, path, settings)
        os.kill(os.getpid(), signal.SIGHUP)
        await asyncio.sleep(0.05)
        loop.remove_signal_handler(signal.SIGHUP)

    try:
        asyncio.run(scenario())
    finally:
        log.removeHandler(handler)
        log.setLevel(level)
    assert seen == [event]
