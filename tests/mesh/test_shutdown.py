"""Planned stop of a daemon whose requests may outlast its grace period."""

import asyncio
import collections

import msgspec
import testtools
from testtools import matchers

from mimosahaven.mesh import http1
from mimosahaven.mesh import peerserver
from mimosahaven.mesh import records
from mimosahaven.mesh import responsestream
from mimosahaven.mesh import shutdown
from tests.mesh import fleet as fleet_lib
from tests.mesh import rawtarget
from tests.mesh import samples

GRACE_S = 1.5
LONG_GRACE_S = 10.0
SERVE_S = 0.8
# The grace period ends long before the deadlines.
DEADLINE_MS = 8_000


def attempt_of(request):
    value = http1.find_header(request.headers, b"mimosahaven-attempt")
    return value.decode()


def set_grace(daemon, grace_s=GRACE_S):
    bounds = msgspec.structs.replace(daemon.settings.bounds, grace_s=grace_s)
    daemon.settings = msgspec.structs.replace(daemon.settings, bounds=bounds)


class PlannedStopTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.patch(shutdown, "SERVE_AFTER_TERM_MS", SERVE_S * 1000)
        self.patch(shutdown, "KILL_MARGIN_MS", 500.0)
        self.run_counts = collections.Counter()
        # Attempts that the stopping daemon has read.
        self.read_attempts = set()

    def target_that_takes(self, work_s):
        async def serve(head, body, writer, number):
            self.run_counts[head["mimosahaven-attempt"]] += 1
            await asyncio.sleep(work_s)
            await rawtarget.respond_ok(head, body, writer, number)

        return serve

    def stop_under_load(self, services, work_s, warm_up_count=0):
        """Stops the first daemon while a caller sends a request each 50 ms.

        Returns:
          Status of each request, by attempt ID; None for one without response.
        """

        async def send(fleet, attempt):
            try:
                status, _, _ = await fleet.send_request(
                    attempt=attempt,
                    method="POST",
                    body=b"x",
                    deadline_ms=DEADLINE_MS,
                )
            except (asyncio.IncompleteReadError, ConnectionResetError):
                return None
            except ConnectionRefusedError:
                return "closed"
            return status

        async def scenario():
            route = samples.route(
                repeat_rule=records.RepeatRule.ONCE, timeout_ms=DEADLINE_MS
            )
            handlers = [self.target_that_takes(work_s)] * len(services)
            async with fleet_lib.Fleet(
                services, handlers, [route], slots=100
            ) as fleet:
                for daemon in fleet.daemons:
                    set_grace(daemon)
                self.record_reads(fleet.daemons[0])
                for number in range(warm_up_count):
                    await send(fleet, f"warm-up-{number}")
                stopping, pending = None, {}
                for number in range(30):
                    attempt = f"r{number}"
                    pending[attempt] = asyncio.ensure_future(
                        send(fleet, attempt)
                    )
                    await asyncio.sleep(0.05)
                    if number == 3:
                        stopping = asyncio.ensure_future(
                            self.drain_and_stop(fleet.daemons[0])
                        )
                await stopping
                statuses = await asyncio.gather(*pending.values())
                return dict(zip(pending, statuses, strict=True))

        return asyncio.run(asyncio.wait_for(scenario(), 30))

    def record_reads(self, daemon):
        handle = daemon.outbound.handle

        async def record(request):
            self.read_attempts.add(attempt_of(request))
            return await handle(request)

        daemon.outbound.handle = record

    async def drain_and_stop(self, daemon):
        await daemon.drain()
        daemon.stop()

    def assert_all_are_told(self, statuses):
        for attempt, status in statuses.items():
            if status is None:
                # It crossed the end of the connection.
                self.assertNotIn(attempt, self.read_attempts)
            if status in (None, 503, "closed"):
                self.assertEqual(0, self.run_counts[attempt], attempt)

    def test_a_request_that_may_outlast_the_grace_period_is_not_passed_on(self):
        for services in (["katalog"], ["ordre", "katalog"]):
            statuses = self.stop_under_load(services, work_s=5)
            self.assert_all_are_told(statuses)
            # Those in flight at SIGTERM get no response of the target in time;
            # they are told that the outcome is unknown.
            before = [statuses[f"r{number}"] for number in range(4)]
            self.assertEqual([504] * 4, before)
            self.assertEqual(4, sum(self.run_counts.values()))
            self.run_counts.clear()

    def test_short_requests_are_served_until_the_callers_have_left(self):
        statuses = self.stop_under_load(
            ["katalog"], work_s=0.05, warm_up_count=10
        )
        self.assert_all_are_told(statuses)
        served = [s for s in statuses.values() if s == 200]
        self.assertThat(len(served), matchers.GreaterThan(10))
        self.assertNotIn(504, statuses.values())

    def test_a_run_for_another_daemon_that_may_outlast_the_grace_period(self):
        # It goes to the target of a daemon that does not stop.
        async def scenario():
            route = samples.route(
                repeat_rule=records.RepeatRule.ONCE, timeout_ms=DEADLINE_MS
            )
            services = ["katalog", "katalog", "ordre"]
            handlers = [self.target_that_takes(1.5)] * 3
            async with fleet_lib.Fleet(services, handlers, [route]) as fleet:
                daemon = fleet.daemons[0]
                set_grace(daemon)
                stopping = asyncio.ensure_future(self.drain_and_stop(daemon))
                await asyncio.sleep(0.1)
                responses = await asyncio.gather(
                    *(
                        fleet.send_request(
                            2,
                            attempt=f"r{number}",
                            method="POST",
                            body=b"x",
                            deadline_ms=DEADLINE_MS,
                        )
                        for number in range(6)
                    )
                )
                await stopping
                return [status for status, _, _ in responses]

        statuses = asyncio.run(asyncio.wait_for(scenario(), 30))
        self.assertEqual([200] * 6, statuses)

    def test_queued_runs_that_would_outlast_the_grace_period(self):
        # Guards against orders that get 502 though they have never run: the
        # daemon ended with them in its queue.
        async def scenario():
            route = samples.route(
                repeat_rule=records.RepeatRule.ONCE, timeout_ms=DEADLINE_MS
            )
            services = ["katalog", "katalog", "ordre"]
            handlers = [self.target_that_takes(0.6)] * 3
            async with fleet_lib.Fleet(
                services, handlers, [route], slots=3
            ) as fleet:
                daemon = fleet.daemons[0]
                set_grace(daemon)
                orders = [
                    asyncio.ensure_future(
                        fleet.send_request(
                            2,
                            attempt=f"r{number}",
                            method="POST",
                            body=b"x",
                            deadline_ms=DEADLINE_MS,
                        )
                    )
                    for number in range(16)
                ]
                await fleet_lib.wait_until(
                    lambda: daemon.admission.waiting == 6
                )
                await self.drain_and_stop(daemon)
                responses = await asyncio.gather(*orders)
                return [status for status, _, _ in responses]

        statuses = asyncio.run(asyncio.wait_for(scenario(), 30))
        self.assertEqual([200] * 16, statuses)
        self.assertEqual({1}, set(self.run_counts.values()))

    def stop_with_pipelined_requests(self, work_s, request_count):
        """Stops a daemon that has passed on pipelined requests.

        Args:
          work_s: How long the target takes for each of them.
          request_count: Number of requests.

        Returns:
          Status and Connection header of each response.
        """

        async def serve(head, body, writer, number):
            path = head["line"].split(" ")[1]
            await asyncio.sleep(work_s[int(path.rpartition("/")[2])])
            await rawtarget.respond_ok(head, body, writer, number)

        async def scenario():
            route = samples.route(timeout_ms=DEADLINE_MS)
            async with fleet_lib.Fleet(["katalog"], [serve], [route]) as fleet:
                daemon = fleet.daemons[0]
                set_grace(daemon)
                async with fleet.connect() as (reader, writer):
                    for number in range(request_count):
                        writer.write(
                            fleet_lib.request(
                                attempt=f"r{number}",
                                path=f"/x/{number}",
                                deadline_ms=DEADLINE_MS,
                            )
                        )
                    await fleet_lib.wait_until(
                        lambda: len(fleet.targets[0].requests) == request_count
                    )
                    stopping = asyncio.ensure_future(
                        self.drain_and_stop(daemon)
                    )
                    responses = []
                    while not reader.at_eof():
                        try:
                            response = await fleet_lib.read_response(reader)
                        except asyncio.IncompleteReadError:
                            break
                        status, head, _ = response
                        responses.append((status, head.get("connection")))
                    await stopping
                    return responses

        return asyncio.run(asyncio.wait_for(scenario(), 30))

    def test_pipelined_requests_that_were_passed_on_are_all_answered(self):
        # Both run when the stop begins; the second one takes longer.
        responses = self.stop_with_pipelined_requests([0.2, 0.5], 2)
        self.assertEqual([(200, None), (200, "close")], responses)

    def test_responses_that_wait_for_an_earlier_one_are_delivered(self):
        # The first request takes longest.
        responses = self.stop_with_pipelined_requests([0.6, 0.1, 0.1], 3)
        self.assertEqual([(200, None)] * 2 + [(200, "close")], responses)

    def test_a_pipelined_request_behind_one_that_is_ended(self):
        # Both have been passed on and may have run.
        responses = self.stop_with_pipelined_requests([5, 5], 2)
        self.assertEqual([(504, None), (504, "close")], responses)

    def stop_while_streaming(self, services, caller_index, rest, act):
        """Stops the first daemon while it passes on a large response.

        Args:
          services: Service of each daemon; one of them is katalog.
          caller_index: Daemon that the caller uses.
          rest: Event at which the target sends the second half.
          act: Called while the daemon stops, with the fleet, the task of the
            stop, and the writer of the caller.

        Returns:
          What the caller receives after the head of the response.
        """

        async def serve(head, body, writer, number):
            half = b"x" * responsestream.BUFFER_BYTES
            writer.write(
                b"HTTP/1.1 200 OK\r\nMimosahaven-Attempt: %b\r\n"
                b"Mimosahaven-Signature: s1\r\nContent-Length: %d\r\n\r\n"
                % (head["mimosahaven-attempt"].encode(), 2 * len(half))
            )
            writer.write(half)
            await rest.wait()
            writer.write(half)

        async def scenario():
            route = samples.route(timeout_ms=DEADLINE_MS)
            handlers = [serve] * len(services)
            async with fleet_lib.Fleet(services, handlers, [route]) as fleet:
                daemon = fleet.daemons[0]
                set_grace(daemon, LONG_GRACE_S)
                stopping = asyncio.ensure_future(self.drain_and_stop(daemon))
                async with fleet.connect(caller_index) as (reader, writer):
                    writer.write(fleet_lib.request(deadline_ms=DEADLINE_MS))
                    await rawtarget.read_head(reader)
                    await act(fleet, stopping, writer)
                    received = await reader.read()
                await stopping
                return received

        return asyncio.run(asyncio.wait_for(scenario(), 30))

    async def assert_keeps_running(self, stopping):
        """Checks that a stop goes on although no run is in progress."""
        await asyncio.wait({stopping}, timeout=2 * SERVE_S)
        self.assertFalse(stopping.done())

    def test_a_response_of_another_daemon_is_passed_on_to_its_end(self):
        rest = asyncio.Event()

        async def act(fleet, stopping, writer):
            await self.assert_keeps_running(stopping)
            rest.set()

        received = self.stop_while_streaming(["ordre", "katalog"], 0, rest, act)
        self.assertTrue(received.endswith(http1.LAST_CHUNK))

    def test_a_response_is_passed_on_to_another_daemon_to_its_end(self):
        rest = asyncio.Event()
        rest.set()
        is_read = asyncio.Event()

        async def drain(connection):
            # The other daemon reads slowly.
            await is_read.wait()

        self.patch(peerserver.PeerServerConnection, "drain", drain)

        async def act(fleet, stopping, writer):
            await self.assert_keeps_running(stopping)
            is_read.set()
            # The caller's connection is kept.
            writer.write(
                fleet_lib.request(path="/none/", extra="Connection: close\r\n")
            )

        received = self.stop_while_streaming(["katalog", "ordre"], 1, rest, act)
        self.assertIn(http1.LAST_CHUNK + b"HTTP/1.1 404", received)

    def test_a_request_behind_a_response_that_closes_is_not_passed_on(self):
        rest = asyncio.Event()
        targets = []

        async def act(fleet, stopping, writer):
            targets.extend(fleet.targets)
            writer.write(fleet_lib.request(attempt="r2"))
            await asyncio.sleep(0.1)
            rest.set()

        received = self.stop_while_streaming(["katalog"], 0, rest, act)
        self.assertTrue(received.endswith(http1.LAST_CHUNK))
        self.assertEqual(1, len(targets[0].requests))
