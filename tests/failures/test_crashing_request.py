"""Requests that crash every target that runs them."""

import json

from testtools import matchers

from tests.failures import environment

ENTRIES = ("catalogue-1", "catalogue-2")
SENDS = 6
MARK = "bad-photo"
# No share for a warm-up: each target that runs the request shows at once.
TARGETS = 4


class CrashingRequestTest(environment.FailureTestCase):
    """A caller sends a deadly request again and again."""

    def test_two_targets_at_most_go_down(self):
        # Guards against one request taking down a whole service.
        held, free = self.run_scenarios(
            (self._send_again, {}),
            (self._send_again, environment.settings_without("quarantine")),
            targets=TARGETS,
            entries=2,
        )
        self.assertThat(held, matchers.LessThan(3))
        self.assertThat(free, matchers.GreaterThan(2))

    async def _send_again(self, env: environment.Environment) -> int:
        await env.warm_up()
        await env.fleet.set_service_faults(
            environment.SERVICE, crash_substring=MARK
        )
        body = json.dumps({"id": "photo", "name": MARK}).encode()
        for number in range(SENDS):
            await env.send(ENTRIES[number % 2], "upload", "photo", data=body)
        return sum(
            env.fleet.process(node.name).popen.poll() is not None
            for node in env.fleet.nodes_of(environment.SERVICE)
        )
