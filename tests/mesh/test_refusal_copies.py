"""Targets that write an earlier refusal once more on a kept connection.

The copy states that a request has not run, while the target is running one.
"""

import asyncio
import collections

import testtools
from testtools import matchers

from mimosahaven.mesh import records
from tests.mesh import fleet as fleet_lib
from tests.mesh import rawtarget
from tests.mesh import samples

ONCE = records.RepeatRule.ONCE
# Statuses that tell a caller that its request has not run.
NOT_RUN_STATUSES = (408, 421, 429, 503)
WORK_S = 0.1


def refusal(status, attempt=None):
    head = f"HTTP/1.1 {status} X\r\nMimosahaven-Not-Run: 1\r\n"
    if attempt is not None:
        head += f"Mimosahaven-Attempt: {attempt}\r\n"
    return head.encode() + b"Content-Length: 0\r\n\r\n"


class RefusingTargets:
    """Targets that refuse a number of sends, and then run what is sent.

    A target that runs a request writes its latest refusal on the same
    connection, if there was one, once more.

    Args:
      refusal_count: Number of sends that are refused, over all targets.
      status: Status of the refusals.
      identified: Whether refusals and their copies echo the attempt ID.
      copy_after_s: When the copy is written, from the start of the run.

    Attributes:
      run_counts: Number of runs of each attempt.
    """

    def __init__(
        self, refusal_count, status=503, identified=True, copy_after_s=0.0
    ):
        self._remaining = refusal_count
        self._status = status
        self._identified = identified
        self._copy_after_s = copy_after_s
        self._refusals = {}
        self.run_counts = collections.Counter()

    async def handle(self, head, body, writer, number):
        attempt = head["mimosahaven-attempt"]
        if self._remaining:
            self._remaining -= 1
            echoed = attempt if self._identified else None
            self._refusals[writer] = refusal(self._status, echoed)
            writer.write(self._refusals[writer])
            return
        self.run_counts[attempt] += 1
        await asyncio.sleep(self._copy_after_s)
        writer.write(self._refusals.get(writer, b""))
        await asyncio.sleep(WORK_S - self._copy_after_s)
        await rawtarget.respond_ok(head, body, writer, number)


class RefusalCopyTest(testtools.TestCase):
    def send(self, targets, daemon_count=2, caller_index=0):
        """Sends an at-most-once request; returns its status.

        With `caller_index` 0, the daemon of the caller has a target of the
        service itself; otherwise all runs go through another daemon.
        """
        services = ["katalog"] * daemon_count + ["ordre"]
        handlers = [targets.handle] * daemon_count + [None]

        async def scenario():
            async with fleet_lib.Fleet(
                services, handlers, [samples.route(repeat_rule=ONCE)]
            ) as fleet:
                status, _, _ = await fleet.send_request(
                    caller_index, method="POST", body=b"x", deadline_ms=3_000
                )
                # A second run would begin while the first is in progress.
                await asyncio.sleep(WORK_S)
                return status

        return asyncio.run(asyncio.wait_for(scenario(), 30))

    def assert_truthful(self, targets, status):
        run_count = targets.run_counts["r1"]
        self.assertThat(run_count, matchers.LessThan(2))
        if run_count:
            self.assertNotIn(status, NOT_RUN_STATUSES)

    def test_a_copy_with_the_id_of_the_attempt_is_not_believed(self):
        # The ID is no distinction: an earlier send of the attempt was refused
        # on this connection.
        for refusal_count in range(1, 7):
            for caller_index in (0, 2):
                targets = RefusingTargets(refusal_count)
                status = self.send(targets, caller_index=caller_index)
                self.assert_truthful(targets, status)
                # The copy belongs to a send on another connection, so that
                # nothing keeps the request from being served.
                self.assertEqual(200, status)

    def test_copies_of_each_status_that_says_not_run(self):
        for status in (400, 421, 429):
            targets = RefusingTargets(2, status)
            self.assert_truthful(targets, self.send(targets))

    def test_a_copy_in_the_middle_of_the_run_is_not_believed(self):
        targets = RefusingTargets(4, copy_after_s=WORK_S / 2)
        status = self.send(targets)
        self.assert_truthful(targets, status)
        self.assertEqual(200, status)

    def test_a_refusal_without_an_id_is_not_believed(self):
        for refusal_count in range(1, 7):
            targets = RefusingTargets(refusal_count, identified=False)
            status = self.send(targets)
            self.assert_truthful(targets, status)
            self.assertEqual(502, status)

    def run_two_attempts(self, handler):
        """Sends r1, then r2; returns both statuses and the target."""

        async def scenario():
            routes = [samples.route(repeat_rule=ONCE, targets_max=1)]
            async with fleet_lib.Fleet(["katalog"], [handler], routes) as fleet:
                statuses = []
                for attempt in ("r1", "r2"):
                    status, _, _ = await fleet.send_request(
                        attempt=attempt, method="POST", body=b"x"
                    )
                    statuses.append(status)
                    await asyncio.sleep(0.05)
                return statuses, fleet.targets[0]

        return asyncio.run(asyncio.wait_for(scenario(), 30))

    def test_a_copy_of_the_refusal_of_another_attempt_is_skipped(self):
        async def serve(head, body, writer, number):
            attempt = head["mimosahaven-attempt"]
            if attempt == "r1":
                writer.write(refusal(503, "r1"))
                return
            writer.write(refusal(503, "r1"))
            await rawtarget.respond_ok(head, body, writer, number)

        statuses, _ = self.run_two_attempts(serve)
        self.assertEqual([503, 200], statuses)

    def test_a_copy_in_the_packet_of_the_refusal_ends_the_connection(self):
        async def serve(head, body, writer, number):
            if head["mimosahaven-attempt"] == "r1":
                writer.write(refusal(503, "r1") * 2)
                return
            await rawtarget.respond_ok(head, body, writer, number)

        statuses, target = self.run_two_attempts(serve)
        self.assertEqual([503, 200], statuses)
        self.assertThat(target.connection_count, matchers.GreaterThan(1))

    def test_a_copy_on_an_idle_connection_ends_it(self):
        async def serve(head, body, writer, number):
            if head["mimosahaven-attempt"] == "r1":
                writer.write(refusal(503, "r1"))
                loop = asyncio.get_running_loop()
                loop.call_later(0.02, writer.write, refusal(503, "r1"))
                return
            await rawtarget.respond_ok(head, body, writer, number)

        statuses, target = self.run_two_attempts(serve)
        self.assertEqual([503, 200], statuses)
        self.assertThat(target.connection_count, matchers.GreaterThan(1))
