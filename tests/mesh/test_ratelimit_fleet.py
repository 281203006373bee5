"""Requests that reach a target which announces a rate limit."""

import asyncio

import testtools
from testtools import matchers

from mimosahaven import clock
from tests.mesh import fleet as fleet_lib

LIMIT_PER_S = 10.0
# Specified bound on the requests that reach the target in any window.
WINDOW_MS = 4_000.0
REQUESTS_MAX = 1.5 * LIMIT_PER_S * WINDOW_MS / 1000 + 5
WAVE_PER_SENDER = 5


class LimitedTarget:
    """Handler of a target that announces a rate limit.

    Attributes:
      limit_per_s: Announced limit, or None.
      work_s: Time that a request takes.
      arrivals_ms: When each request arrived.
    """

    def __init__(self, work_s=0.0):
        self.limit_per_s = LIMIT_PER_S
        self.work_s = work_s
        self.arrivals_ms = []

    async def __call__(self, head, body, writer, number):
        self.arrivals_ms.append(clock.monotonic_ms())
        await asyncio.sleep(self.work_s)
        limit = f"Mimosahaven-Rate-Limit: {self.limit_per_s}\r\n"
        writer.write(
            b"HTTP/1.1 200 OK\r\nMimosahaven-Attempt: %b\r\n"
            b"Mimosahaven-Signature: s1\r\nContent-Length: 2\r\n%b\r\nhi"
            % (
                head["mimosahaven-attempt"].encode(),
                b"" if self.limit_per_s is None else limit.encode(),
            )
        )
        await writer.drain()

    def most_in_window(self):
        """Returns the most requests that arrived in any window."""
        return max(
            sum(0 <= at_ms - start_ms < WINDOW_MS for at_ms in self.arrivals_ms)
            for start_ms in self.arrivals_ms
        )


async def send_waves(fleet, waves, prefix, senders):
    """Sends requests one wave after the other and returns the statuses.

    Each wave fits into the queue of the target's daemon.
    """
    statuses = []
    for wave in range(waves):
        responses = await asyncio.gather(
            *(
                fleet.send_request(
                    sender, attempt=f"{prefix}{wave}-{sender}-{n}"
                )
                for n in range(WAVE_PER_SENDER)
                for sender in senders
            )
        )
        statuses += [status for status, _, _ in responses]
    return statuses


class AnnouncedRateLimitTest(testtools.TestCase):
    """Guards against LIMIT: a target gets more than the rate that it accepts.

    The target of the first daemon announces the limit.
    """

    def run_scenario(self, scenario, services, handlers, slots=10):
        async def run():
            async with fleet_lib.Fleet(
                services, handlers, slots=slots
            ) as fleet:
                # Each daemon passes on a response with the announcement.
                for sender in range(len(services)):
                    await fleet.send_request(sender, attempt=f"first{sender}")
                await scenario(fleet)

        asyncio.run(asyncio.wait_for(run(), 60))

    def assert_limit_kept(self, limited):
        self.assertThat(
            limited.most_in_window(), matchers.LessThan(REQUESTS_MAX + 1)
        )

    def test_a_target_gets_no_more_than_the_rate_that_it_announces(self):
        limited = LimitedTarget()

        async def scenario(fleet):
            statuses = await send_waves(fleet, 10, "r", [0, 1, 2])
            self.assert_limit_kept(limited)
            # All others are refused as not run.
            self.assertEqual({200, 503}, set(statuses))

        self.run_scenario(
            scenario, ["katalog", "ordre", "ordre"], [limited, None, None]
        )

    def test_the_limit_holds_after_a_restart_of_the_targets_daemon(self):
        # The responses take so long that all requests would be sent before the
        # new process gets the first one.
        limited = LimitedTarget(work_s=0.5)

        async def scenario(fleet):
            await fleet.restart(0)
            requests = [
                fleet.send_request(1 + n % 2, attempt=f"r{n}")
                for n in range(90)
            ]
            await asyncio.gather(*requests)
            self.assert_limit_kept(limited)

        self.run_scenario(
            scenario, ["katalog", "ordre", "ordre"], [limited, None, None], 100
        )

    def test_the_limit_ends_with_the_responses_that_announce_it(self):
        limited = LimitedTarget()

        async def scenario(fleet):
            statuses = await send_waves(fleet, 10, "r", [0, 1])
            self.assertIn(503, statuses)
            limited.limit_per_s = None
            # Runs that wait, and the shed threshold, are from before.
            async with asyncio.timeout(20):
                while 503 in statuses:
                    statuses = await send_waves(fleet, 10, "s", [0, 1])

        self.run_scenario(scenario, ["katalog", "ordre"], [limited, None])

    def test_requests_above_the_limit_go_to_the_other_targets(self):
        limited = LimitedTarget()

        async def scenario(fleet):
            statuses = await send_waves(fleet, 10, "r", [0, 1, 2])
            self.assertEqual({200}, set(statuses))
            self.assert_limit_kept(limited)

        self.run_scenario(
            scenario, ["katalog", "katalog", "ordre"], [limited, None, None]
        )
