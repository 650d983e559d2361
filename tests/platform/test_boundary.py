"""Only the platform package may use the platform's names; only cli/ may import it."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

SOURCE = Path(__file__).parents[2] / "src" / "tamarackshelf"
ADAPTER = SOURCE / "platform"
PLATFORM_NAMES = re.compile(
    r"x-server-stamp|x-weight-versions|x-expect-instance|x-worker-load|x-not-run"
    r"|rows-tx|rows-get|rows-feed|rows-parts|blob-put|scorerUrl|scorer_url"
    r"|replicaCounts|x-duty-holder|x-fence-token|groupCount"
    r"|/v1/lots|/v1/order|/v1/resolve|recordTtl|expectedRev|pathPrefix|trafficSplit"
    r"|x-credential|x-tenant|tenants|apiKeys"
    r"|minReplicas|maxReplicas|spotBid|zonePrices|leaves_ms",
    re.IGNORECASE,
)
OUTSIDE = [path for path in SOURCE.rglob("*.py") if ADAPTER not in path.parents]


@pytest.mark.parametrize("path", OUTSIDE, ids=lambda p: str(p.relative_to(SOURCE)))
def test_platform_names_occur_only_in_the_adapter(path):
    # /v1/orders belongs to this project's own engine contract.
    text = path.read_text().replace("/v1/orders", "")
    assert not PLATFORM_NAMES.findall(text)


@pytest.mark.parametrize("path", OUTSIDE, ids=lambda p: str(p.relative_to(SOURCE)))
def test_only_the_command_line_imports_the_adapter(path):
    is_command_line = path.parent.name == "cli"
    assert is_command_line or "tamarackshelf.platform" not in path.read_text()
