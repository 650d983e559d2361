"""Usage reports: each request is counted once and each window has one report."""

from __future__ import annotations

import pytest

from tests.support.duties import DutyNodes, sleep_until


@pytest.fixture
def run_nodes(run):
    def run_with_nodes(scenario, **options):
        async def build_and_run():
            nodes = DutyNodes(**options)
            await nodes.start()
            await scenario(nodes)
            await nodes.close()
            nodes.platform.assert_rules()
            return nodes

        return run(build_and_run())

    return run_with_nodes


async def run_requests(nodes, until_s, interval_s=0.1):
    """Run one request at each live node per interval; return their number."""
    at_s, count = interval_s / 2, 0
    while at_s < until_s:
        await sleep_until(at_s)
        for name, node in nodes.nodes.items():
            if name not in nodes.dead:
                node.run_request()
                count += 1
        at_s += interval_s
    return count


def test_each_window_is_reported_with_the_requests_of_all_nodes(run_nodes):
    async def scenario(nodes):
        await run_requests(nodes, 5.0)
        await sleep_until(6.0)
        nodes.nodes["b"].run_request("small")
        nodes.nodes["b"].run_request("")
        await sleep_until(20.0)
        counts = nodes.platform.find_counts()
        assert counts[0] == {"org": 200}
        assert counts[1] == {"small": 1}
        assert counts[2] == {}
        assert len({holder for _, holder, _, _ in nodes.platform.reports}) == 1

    run_nodes(scenario)
