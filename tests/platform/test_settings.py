"""Tests of loading and reloading valid and invalid settings files."""

from __future__ import annotations

import asyncio
import os
import signal

import pytest

from tamarackshelf.node.settings import DutySettings, InvalidSettings
from tamarackshelf.node.settings_watch import CHECK_INTERVAL_S, SettingsWatch
from tamarackshelf.observe import Timeline
from tamarackshelf.platform.settings import load_settings
from tamarackshelf.world import Address

VALID_SETTINGS = """\
nodeName=edge-vestland-a-1
zone=vestland-a
region=vestland
ip=10.1.0.35
listen.front=10.1.0.35:8144
listen.ready=10.1.0.35:8140
listen.directory=10.1.0.35:8143
listen.control=10.1.0.35:8146
seedNodes=10.1.0.35:8146,10.2.0.28:8146
portRange=7660,7675
bootstrap=true
bounds.gracePeriodS=8
bounds.drainMs=2000
bounds.leaseTtlMs=3000
bounds.ttl_max_s=5
bounds.statusS=120
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
    path.write_text(VALID_SETTINGS)
    return path


def test_duties_are_read_if_the_platform_takes_calls(path):
    assert load_settings(path).duties is None
    path.write_text(
        VALID_SETTINGS
        + "cloudApi.address=10.200.1.9:8150\ncloudApi.dutyPerS=50\n"
        + "cloudApi.tasks=usage_report\nbounds.usageLateS=10\n"
    )
    assert load_settings(path).duties == DutySettings(
        Address("10.200.1.9", 8150),
        50.0,
        reports_usage=True,
        orders_workers=False,
        checks_fencing=True,
        report_window_s=5.0,
        report_late_s=10.0,
    )


def test_settings_are_read_and_unknown_fields_ignored(path):
    settings = load_settings(path)
    assert settings.vm == "edge-vestland-a-1"
    assert settings.peer_address == Address("10.1.0.35", 7660)
    assert settings.lease_s == 3.0
    assert settings.targets_check_fencing
    assert settings.metrics_address is None
    assert settings.seed_address == Address("10.1.0.35", 8146)
    assert settings.seeds == (settings.seed_address, Address("10.2.0.28", 8146))


def test_seed_address_is_optional(path):
    path.write_text(VALID_SETTINGS.replace("listen.control=10.1.0.35:8146\n", ""))
    assert load_settings(path).seed_address is None


@pytest.mark.parametrize(
    ("before", "after", "named"),
    [
        ("zone=vestland-a\n", "", "zone"),
        ("listen.front=10.1.0.35:8144", "listen.front=edge:8144", "edge"),
        ("provider.rowBytes=65536", "provider.rowBytes=many", "many"),
        ("portRange=7660,7675", "portRange=7660", "unpack"),
    ],
)
def test_invalid_settings_are_rejected_with_a_reason(path, before, after, named):
    path.write_text(VALID_SETTINGS.replace(before, after))
    with pytest.raises(InvalidSettings, match=named):
        load_settings(path)


def test_missing_file_is_named(tmp_path):
    with pytest.raises(InvalidSettings, match="nothing.conf"):
        load_settings(tmp_path / "nothing.conf")


class WatchedSettings:
    """SettingsWatch on a file that collects the applied settings and the events."""

    def __init__(self, path):
        settings = load_settings(path)
        self.timeline = Timeline(settings.vm, lambda: 0)
        self.applied = []
        self.watch = SettingsWatch(
            lambda: load_settings(path), settings, self.applied.append, self.timeline
        )

    def events(self):
        return [(e.kind, e.reason) for e in self.timeline.page().events]


UNCHANGED = ("settings_reloaded", "unchanged")
APPLIED_NOW = ("settings_reloaded", "in force: grace_s; at the next start: none")
APPLIED_AT_NEXT_START = (
    "settings_reloaded",
    "in force: none; at the next start: data_centre",
)


@pytest.mark.parametrize(
    ("text", "event", "applied"),
    [
        (VALID_SETTINGS, UNCHANGED, 0),
        (VALID_SETTINGS.replace("PeriodS=8", "PeriodS=9"), APPLIED_NOW, 1),
        (
            VALID_SETTINGS.replace("vestland-a\n", "vestland-b\n"),
            APPLIED_AT_NEXT_START,
            1,
        ),
    ],
    ids=["unchanged", "bound", "place"],
)
def test_sighup_reloads_the_settings(path, text, event, applied):
    watched = WatchedSettings(path)
    path.write_text(text)

    async def scenario():
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, watched.watch.reload)
        os.kill(os.getpid(), signal.SIGHUP)
        await asyncio.sleep(0.05)
        loop.remove_signal_handler(signal.SIGHUP)

    asyncio.run(scenario())
    assert watched.events() == [event]
    assert len(watched.applied) == applied


def test_invalid_file_is_reported_and_not_applied(path):
    watched = WatchedSettings(path)
    path.write_text(VALID_SETTINGS.replace("65536", "x"))
    watched.watch.reload()
    [(kind, reason)] = watched.events()
    assert kind == "settings_refused"
    assert "correct it" in reason
    assert watched.applied == []


def test_change_without_a_signal_is_applied_and_invalid_file_reported_once(path, run):
    watched = WatchedSettings(path)

    async def scenario():
        await watched.watch.start()
        path.write_text(VALID_SETTINGS.replace("ttl_max_s=5", "ttl_max_s=3"))
        await asyncio.sleep(3 * CHECK_INTERVAL_S)
        path.write_text("zone=a")
        await asyncio.sleep(3 * CHECK_INTERVAL_S)
        await watched.watch.close()

    run(scenario())
    kinds = [kind for kind, _ in watched.events()]
    assert kinds == ["settings_reloaded", "settings_refused"]
    assert [settings.entries_valid_max_s for settings in watched.applied] == [3.0]


def test_limits_for_untrusted_clients_have_defaults(path):
    settings = load_settings(path)
    assert settings.max_descriptors is None
    assert settings.max_caller_connections is None
    assert settings.buffer_bytes is None
    assert settings.min_body_bytes_per_s == 16 * 1024


def test_limits_for_untrusted_clients_are_read(path):
    path.write_text(
        f"{VALID_SETTINGS}limits.maxFds=4100\nlimits.callerConnections=700\n"
        "limits.bufferBytes=30000000\nlimits.bodyBytesPerS=1000\n"
    )
    settings = load_settings(path)
    assert settings.max_descriptors == 4100
    assert settings.max_caller_connections == 700
    assert settings.buffer_bytes == 30_000_000
    assert settings.min_body_bytes_per_s == 1000


@pytest.mark.parametrize(
    "line",
    [
        "limits.maxFds=63",
        "limits.maxFds=many",
        "limits.callerConnections=0",
        "limits.bufferBytes=1000",
        "limits.bodyBytesPerS=-1",
    ],
)
def test_limits_that_leave_nothing_are_invalid(path, line):
    path.write_text(f"{VALID_SETTINGS}{line}\n")
    with pytest.raises(InvalidSettings):
        load_settings(path)
