"""Tests of mimosahaven.daemon with real processes."""

import asyncio
import collections

import testtools
from testtools import matchers

from mimosahaven.testing import deployments
from mimosahaven.testing import runner


class ChainTest(testtools.TestCase):
    def test_each_kind_gets_its_complete_response(self):
        asyncio.run(self._call_each_kind())

    async def _call_each_kind(self):
        deployment = deployments.UMURAGE.scaled(0.2, 0.3)
        async with runner.Runner(deployment) as fleet:
            for number, kind in enumerate(deployment.kinds):
                node = fleet.nodes[number % len(fleet.nodes)]
                async with fleet.session.request(
                    kind.method,
                    f"{node.entry_url}{kind.url_path}?id={number}",
                    headers={
                        "Mimosahaven-Caller": kind.caller,
                        "Mimosahaven-Kind": kind.name,
                    },
                ) as response:
                    document = await response.json()
                    self.assertThat(
                        response.status,
                        matchers.Equals(200),
                        f"{kind.name}: {response.headers}",
                    )
                self.assertThat(document["id"], matchers.Equals(str(number)))
            runs = collections.Counter(run.action_id for run in fleet.runs())
            self.assertThat(runs, matchers.HasLength(len(deployment.kinds)))
            self.assertThat(min(runs.values()), matchers.GreaterThan(2))
