"""Guards against a request that crashes every target that runs it."""

import json

from testtools import matchers

from tests.failures import environment

ENTRIES = ("catalogue-1", "catalogue-2")
ATTEMPTS = 6
CRASH_MARKER = "bad-photo"
# Targets start without a reduced cold-start limit, so every target that runs
# the request is counted at once.
TARGETS = 4


class CrashingRequestTest(environment.FailureTestCase):
    """A caller retries a request that crashes targets."""

    def test_two_targets_at_most_go_down(self):
        # One retried request must not crash all targets of a service.
        with_quarantine, without_quarantine = self.run_scenarios(
            (self._send_repeatedly, {}),
            (self._send_repeatedly, environment.settings_without("quarantine")),
            targets=TARGETS,
            entries=2,
        )
        self.assertThat(with_quarantine, matchers.LessThan(3))
        self.assertThat(without_quarantine, matchers.GreaterThan(2))

    async def _send_repeatedly(self, env: environment.Environment) -> int:
        await env.warm_up()
        await env.fleet.set_service_faults(
            environment.SERVICE, crash_substring=CRASH_MARKER
        )
        body = json.dumps({"id": "photo", "name": CRASH_MARKER}).encode()
        for number in range(ATTEMPTS):
            await env.send(ENTRIES[number % 2], "upload", "photo", data=body)
        return sum(
            env.fleet.process(node.name).popen.poll() is not None
            for node in env.fleet.nodes_of(environment.SERVICE)
        )
