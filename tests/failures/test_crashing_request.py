"""Requests that crash every target that runs them."""

import json

from testtools import matchers

from tests.failures import scenes

ENTRIES = ("catalogue-1", "catalogue-2")
SENDS = 6
MARK = "bad-photo"
# No share for a warm-up: each target that runs the request shows at once.
TARGETS = 4


class CrashingRequestTest(scenes.FailureTest):
    """A caller sends a deadly request again and again."""

    def test_two_targets_at_most_go_down(self):
        # Guards against one request taking down a whole service.
        held, free = self.compare(
            (self._send_again, {}),
            (self._send_again, scenes.off("quarantine")),
            targets=TARGETS,
            entries=2,
        )
        self.assertThat(held, matchers.LessThan(3))
        self.assertThat(free, matchers.GreaterThan(2))

    async def _send_again(self, scene: scenes.Scene) -> int:
        await scene.warm_up()
        await scene.fleet.set_service_faults(
            scenes.SERVICE, crash_substring=MARK
        )
        body = json.dumps({"id": "photo", "name": MARK}).encode()
        for number in range(SENDS):
            await scene.send(ENTRIES[number % 2], "upload", "photo", data=body)
        return sum(
            scene.fleet.process(node.name).popen.poll() is not None
            for node in scene.fleet.nodes_of(scenes.SERVICE)
        )
