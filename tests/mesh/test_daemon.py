"""End-to-end tests of requests through several daemons in one process."""

import asyncio
import functools
import json
import pathlib
import tempfile

import msgspec
import testtools
from testtools import matchers

from mimosahaven import clock
from mimosahaven import codes
from mimosahaven.mesh import feed as feed_lib
from mimosahaven.mesh import httpclient
from mimosahaven.mesh import records
from mimosahaven.mesh import settings as settings_lib
from mimosahaven.mesh import shutdown
from mimosahaven.mesh import targethealth
from tests.mesh import fleet as fleet_lib
from tests.mesh import rawtarget
from tests.mesh import samples

ONCE = records.RepeatRule.ONCE


def ok_response(attempt, body=b"hi", length=None):
    length = len(body) if length is None else length
    return (
        b"HTTP/1.1 200 OK\r\nMimosahaven-Attempt: %b\r\n"
        b"Mimosahaven-Signature: s1\r\nContent-Length: %d\r\n\r\n"
        % (attempt, length)
        + body
    )


def attempt_id(head):
    return head["mimosahaven-attempt"].encode()


def alter_first_request(first):
    """Returns a handler shared by several targets.

    Args:
      first: Handles the first request of all; the others get a plain response.
    """
    seen = []

    async def handle(head, body, writer, number):
        seen.append(number)
        handler = first if len(seen) == 1 else rawtarget.respond_ok
        await handler(head, body, writer, number)

    return handle


async def truncated_response(head, body, writer, number):
    writer.write(ok_response(attempt_id(head), b"half", 100))
    await writer.drain()
    writer.transport.abort()


async def reset_connection(head, body, writer, number):
    writer.transport.abort()


async def never_respond(head, body, writer, number):
    await asyncio.sleep(60)


# The target of the first route's service calls the second route.
CHAIN = [
    samples.route(),
    samples.route(
        "y", prefix="/y/", rank=0, shares=(records.Share("presse", 1.0),)
    ),
]


async def call_nested(fleet, head):
    """Makes a nested call on behalf of a request and returns its status."""
    status, _, _ = await fleet.send_request(
        attempt=head["mimosahaven-attempt"] + ".c1", path="/y/"
    )
    return status


async def drain_and_stop(daemon):
    """Drains and stops a daemon, as on SIGTERM."""
    await daemon.drain()
    daemon.stop()


class DaemonTest(testtools.TestCase):
    def run_scenario(self, scenario):
        asyncio.run(asyncio.wait_for(scenario(), 30))

    def test_a_request_reaches_a_target_on_another_vm(self):
        async def scenario():
            async with fleet_lib.Fleet(["ordre", "katalog"]) as fleet:
                status, head, body = await fleet.send_request(
                    method="POST",
                    body=b"xyz",
                    extra="Mimosahaven-Caller: x\r\n",
                )
                self.assertEqual((200, b"hi"), (status, body))
                self.assertEqual("s1", head["mimosahaven-signature"])
                [(seen, sent)] = fleet.targets[1].requests
                self.assertEqual(b"xyz", sent)
                # The caller is the service of the sending VM, regardless of
                # the header in the request.
                self.assertEqual("ordre", seen["mimosahaven-caller"])
                self.assertEqual("i-1", seen["mimosahaven-target"])
                self.assertThat(
                    int(seen["mimosahaven-deadline-ms"]),
                    matchers.LessThan(1001),
                )

        self.run_scenario(scenario)

    def test_without_a_configuration_requests_get_503(self):
        async def scenario():
            async with fleet_lib.Fleet(["katalog"]) as fleet:
                fleet.daemons[0].replica.index = None
                status, _, _ = await fleet.send_request()
                self.assertEqual(503, status)
                status, _, _ = await fleet.send_request(path="/nowhere/")
                self.assertEqual(503, status)

        self.run_scenario(scenario)

    def test_an_unknown_route_is_404(self):
        async def scenario():
            async with fleet_lib.Fleet(["katalog"]) as fleet:
                status, _, _ = await fleet.send_request(path="/nowhere/")
                self.assertEqual(404, status)

        self.run_scenario(scenario)

    def test_pipelined_requests_are_answered_in_order(self):
        async def slow_first(head, body, writer, number):
            if head["mimosahaven-attempt"] == "p0":
                await asyncio.sleep(0.1)
            writer.write(ok_response(attempt_id(head), attempt_id(head)))

        async def scenario():
            async with (
                fleet_lib.Fleet(["katalog"], [slow_first]) as fleet,
                fleet.connect() as (reader, writer),
            ):
                writer.write(
                    b"".join(fleet_lib.request(f"p{i}") for i in range(5))
                )
                bodies = [
                    (await fleet_lib.read_response(reader))[2] for _ in range(5)
                ]
                self.assertEqual([b"p0", b"p1", b"p2", b"p3", b"p4"], bodies)

        self.run_scenario(scenario)

    def test_a_truncated_response_is_retried_at_another_target(self):
        async def scenario():
            handlers = [alter_first_request(truncated_response)] * 2
            async with fleet_lib.Fleet(["katalog"] * 2, handlers) as fleet:
                status, _, body = await fleet.send_request()
                self.assertEqual((200, b"hi"), (status, body))

        self.run_scenario(scenario)

    def test_an_at_most_once_request_is_not_retried(self):
        async def scenario():
            routes = [samples.route(repeat_rule=ONCE)]
            handlers = [alter_first_request(reset_connection)] * 2
            async with fleet_lib.Fleet(
                ["katalog"] * 2, handlers, routes
            ) as fleet:
                status, _, _ = await fleet.send_request(
                    method="POST", body=b"x"
                )
                self.assertEqual(502, status)
                runs = sum(len(target.requests) for target in fleet.targets)
                self.assertEqual(1, runs)

        self.run_scenario(scenario)

    def test_a_late_duplicate_response_is_discarded(self):
        async def duplicate_later(head, body, writer, number):
            if number == 2:
                # A late duplicate response to the first request.
                writer.write(ok_response(b"r1", b"old"))
            writer.write(ok_response(attempt_id(head), b"r%d" % number))

        async def scenario():
            async with fleet_lib.Fleet(["katalog"], [duplicate_later]) as fleet:
                for number in (1, 2, 3):
                    status, _, body = await fleet.send_request(
                        attempt=f"r{number}"
                    )
                    self.assertEqual((200, b"r%d" % number), (status, body))

        self.run_scenario(scenario)

    def test_a_success_without_the_attempt_id_is_not_forwarded(self):
        # The ID identifies a response; another one may arrive late.
        async def handle(head, body, writer, number):
            writer.write(
                b"HTTP/1.1 200 OK\r\nMimosahaven-Signature: s1\r\n"
                b"Content-Length: 2\r\n\r\nhi"
            )

        async def scenario():
            async with fleet_lib.Fleet(["katalog"], [handle]) as fleet:
                status, _, _ = await fleet.send_request()
                self.assertEqual(502, status)

        asyncio.run(asyncio.wait_for(scenario(), 30))

    def test_a_close_delimited_response_is_complete(self):
        async def close_delimited(head, body, writer, number):
            writer.write(
                b"HTTP/1.1 200 OK\r\nMimosahaven-Attempt: %b\r\n"
                b"Mimosahaven-Signature: s1\r\n\r\nto the end"
                % attempt_id(head)
            )
            writer.close()

        async def scenario():
            async with fleet_lib.Fleet(["katalog"], [close_delimited]) as fleet:
                status, _, body = await fleet.send_request()
                self.assertEqual((200, b"to the end"), (status, body))

        self.run_scenario(scenario)

    def test_a_response_with_an_odd_keep_alive_timeout_is_passed_on(self):
        async def odd_timeout(head, body, writer, number):
            # More digits than int() converts.
            writer.write(
                b"HTTP/1.1 200 OK\r\nMimosahaven-Attempt: %b\r\n"
                b"Mimosahaven-Signature: s1\r\n"
                b"Keep-Alive: timeout=%b\r\nContent-Length: 2\r\n\r\nhi"
                % (attempt_id(head), b"1" * 5_000)
            )

        async def scenario():
            async with fleet_lib.Fleet(["katalog"], [odd_timeout]) as fleet:
                status, _, body = await fleet.send_request()
                self.assertEqual((200, b"hi"), (status, body))

        self.run_scenario(scenario)

    def test_a_success_without_a_signature_is_not_forwarded(self):
        async def unsigned(head, body, writer, number):
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi")

        async def scenario():
            async with fleet_lib.Fleet(["katalog"], [unsigned]) as fleet:
                status, _, _ = await fleet.send_request()
                self.assertEqual(502, status)

        self.run_scenario(scenario)

    def test_an_at_most_once_request_is_retried_after_a_target_refusal(self):
        async def full(head, body, writer, number):
            writer.write(
                b"HTTP/1.1 503 Full\r\nMimosahaven-Not-Run: 1\r\n"
                b"Mimosahaven-Attempt: %b\r\nContent-Length: 0\r\n\r\n"
                % attempt_id(head)
            )

        async def scenario():
            routes = [samples.route(repeat_rule=ONCE)]
            handlers = [alter_first_request(full)] * 2
            async with fleet_lib.Fleet(
                ["katalog"] * 2, handlers, routes
            ) as fleet:
                status, _, _ = await fleet.send_request(
                    method="POST", body=b"x"
                )
                self.assertEqual(200, status)

        self.run_scenario(scenario)

    def test_a_status_that_means_not_run_needs_the_header_that_says_so(self):
        # The target itself may respond with such a status after the run. The
        # caller would send an at-most-once request again.
        async def scenario(status):
            async def respond(head, body, writer, number):
                writer.write(
                    b"HTTP/1.1 %d X\r\nMimosahaven-Attempt: %b\r\n"
                    b"Mimosahaven-Signature: s1\r\nContent-Length: 0\r\n\r\n"
                    % (status, attempt_id(head))
                )

            routes = [samples.route(repeat_rule=ONCE)]
            async with fleet_lib.Fleet(["katalog"], [respond], routes) as fleet:
                got, head, _ = await fleet.send_request(
                    method="POST", body=b"x"
                )
                self.assertEqual(502, got)
                self.assertNotIn("mimosahaven-signature", head)
                self.assertEqual(1, len(fleet.targets[0].requests))

        for status in (408, 429, 503):
            self.run_scenario(functools.partial(scenario, status))

    def test_a_later_refusal_does_not_hide_an_unknown_outcome(self):
        async def truncate_and_drain(head, body, writer, number):
            for daemon in fleet_holder[0].daemons:
                daemon.runner.refuse_code = codes.Code.LEAVING
            await truncated_response(head, body, writer, number)

        fleet_holder = []

        async def scenario():
            handlers = [truncate_and_drain] * 2
            async with fleet_lib.Fleet(["katalog"] * 2, handlers) as fleet:
                fleet_holder.append(fleet)
                status, head, _ = await fleet.send_request()
                self.assertEqual(502, status)
                self.assertNotIn("retry-after", head)

        self.run_scenario(scenario)

    def test_a_retry_is_not_sent_when_its_nested_calls_exceed_the_budget(self):
        async def scenario():
            handlers = [alter_first_request(reset_connection)] * 2
            async with fleet_lib.Fleet(["katalog"] * 2, handlers) as fleet:
                # More runs than the slack allows at the nested service.
                tree = {"katalog": 1.0, "presse": 500.0}
                fleet.daemons[0].outbound._costs.record(
                    "r", "katalog", tree, {}
                )
                status, _, _ = await fleet.send_request()
                self.assertEqual(502, status)
                sent = sum(len(target.requests) for target in fleet.targets)
                self.assertEqual(1, sent)

        self.run_scenario(scenario)

    def test_a_caller_disconnect_cancels_the_run_at_the_target(self):
        async def scenario():
            # Without the disconnect, the request would outlast the timeout of
            # the scenario.
            routes = [samples.route(timeout_ms=60_000.0)]
            async with fleet_lib.Fleet(
                ["ordre", "katalog"], [None, never_respond], routes
            ) as fleet:
                async with fleet.connect() as (_, writer):
                    writer.write(fleet_lib.request(deadline_ms=60_000))
                    await fleet_lib.wait_until(
                        lambda: fleet.targets[1].requests
                    )
                await fleet_lib.wait_until(
                    lambda: fleet.targets[1].disconnect_count == 1
                )

        self.run_scenario(scenario)

    def test_the_route_timeout_is_enforced(self):
        async def scenario():
            routes = [samples.route(timeout_ms=200.0)]
            async with fleet_lib.Fleet(
                ["ordre", "katalog"], [None, never_respond], routes
            ) as fleet:
                status, _, _ = await fleet.send_request(deadline_ms=60_000)
                self.assertEqual(504, status)
                [(seen, _)] = fleet.targets[1].requests
                self.assertThat(
                    int(seen["mimosahaven-deadline-ms"]),
                    matchers.LessThan(201),
                )

        self.run_scenario(scenario)

    def test_a_long_response_is_streamed_in_full(self):
        data = bytes(range(256)) * 8192

        async def long(head, body, writer, number):
            writer.write(ok_response(attempt_id(head), data))
            await writer.drain()

        async def scenario():
            async with fleet_lib.Fleet(
                ["ordre", "katalog"], [None, long]
            ) as fleet:
                status, _, body = await fleet.send_request()
                self.assertEqual((200, True), (status, body == data))

        self.run_scenario(scenario)

    def test_a_truncated_long_response_does_not_look_complete(self):
        async def long(head, body, writer, number):
            writer.write(ok_response(attempt_id(head), b"x" * 200_000, 400_000))
            await writer.drain()
            writer.close()

        async def scenario():
            async with fleet_lib.Fleet(
                ["ordre", "katalog"], [None, long]
            ) as fleet:
                try:
                    await fleet.send_request()
                except (asyncio.IncompleteReadError, OSError, ValueError):
                    return
                self.fail("the truncated response looks complete")

        self.run_scenario(scenario)

    def test_connections_to_the_target_are_reused(self):
        async def scenario():
            async with fleet_lib.Fleet(["ordre", "katalog"]) as fleet:
                for number in range(10):
                    await fleet.send_request(attempt=f"r{number}")
                self.assertEqual(1, fleet.targets[1].connection_count)

        self.run_scenario(scenario)

    def test_a_call_inherits_the_deadline_of_its_parent(self):
        async def nested(head, body, writer, number):
            status = await call_nested(fleet_holder[0], head)
            writer.write(ok_response(attempt_id(head), b"%d" % status))

        fleet_holder = []

        async def scenario():
            async with fleet_lib.Fleet(
                ["katalog", "presse"], [nested, None], CHAIN
            ) as fleet:
                fleet_holder.append(fleet)
                status, _, body = await fleet.send_request(deadline_ms=300)
                self.assertEqual((200, b"200"), (status, body))
                [(seen, _)] = fleet.targets[1].requests
                self.assertThat(
                    int(seen["mimosahaven-deadline-ms"]),
                    matchers.LessThan(301),
                )
                uses = fleet.daemons[0].thresholds.services_used("katalog", "r")
                self.assertEqual(["katalog", "presse"], uses)

        self.run_scenario(scenario)

    def test_a_route_without_any_success_is_shed_for_a_nested_service(self):
        # Daemons that start under overload have not seen any successful
        # request. Without this rule they would admit requests that are bound
        # to fail at a nested service.
        send_count = 10

        async def failing(head, body, writer, number):
            await call_nested(fleet_holder[0], head)
            writer.write(
                b"HTTP/1.1 500 Error\r\nMimosahaven-Attempt: %b\r\n"
                b"Content-Length: 0\r\n\r\n" % attempt_id(head)
            )

        fleet_holder = []

        async def scenario():
            async with fleet_lib.Fleet(["katalog"], [failing], CHAIN) as fleet:
                fleet_holder.append(fleet)
                responses = [
                    await fleet.send_request(attempt=f"r{n}")
                    for n in range(send_count)
                ]
                statuses = [status for status, _, _ in responses]
                self.assertEqual(500, statuses[0])
                # One in 50 is admitted as a probe.
                self.assertThat(
                    len(fleet.targets[0].requests), matchers.LessThan(3)
                )
                self.assertEqual([503] * (send_count - 2), statuses[2:])

        self.run_scenario(scenario)

    def test_a_daemon_without_store_updates_gets_them_from_peers(self):
        async def scenario():
            async with fleet_lib.Fleet(["ordre", "katalog"]) as fleet:
                fleet.feeds[0].publish(
                    feed_lib.Changes(
                        7, samples.table(samples.route(), version=9), [], []
                    )
                )
                await fleet_lib.wait_until(
                    lambda: fleet.daemons[0].replica.table_version == 9
                )
                for number in range(3):
                    await fleet.send_request(attempt=f"r{number}")
                await fleet_lib.wait_until(
                    lambda: fleet.daemons[1].replica.table_version == 9
                )

        self.run_scenario(scenario)

    def test_draining_serves_requests_in_flight_and_then_closes(self):
        async def slow(head, body, writer, number):
            await asyncio.sleep(0.3)
            writer.write(ok_response(attempt_id(head)))

        async def scenario():
            async with fleet_lib.Fleet(["katalog"], [slow]) as fleet:
                daemon = fleet.daemons[0]

                pending_response = asyncio.ensure_future(fleet.send_request())
                await fleet_lib.wait_until(lambda: fleet.targets[0].requests)
                stopping = asyncio.ensure_future(drain_and_stop(daemon))
                await asyncio.sleep(0)
                self.assertFalse(daemon.ready)
                status, head, _ = await pending_response
                self.assertEqual((200, "close"), (status, head["connection"]))
                await stopping

        self.run_scenario(scenario)

    def test_draining_finishes_work_that_outlasts_the_serving_period(self):
        self.patch(shutdown, "SERVE_AFTER_TERM_MS", 100.0)

        async def slow(head, body, writer, number):
            await asyncio.sleep(0.8)
            writer.write(ok_response(attempt_id(head)))

        async def scenario():
            async with fleet_lib.Fleet(["katalog"], [slow]) as fleet:
                daemon = fleet.daemons[0]

                pending_response = asyncio.ensure_future(
                    fleet.send_request(deadline_ms=5_000)
                )
                await fleet_lib.wait_until(lambda: fleet.targets[0].requests)
                stopping = asyncio.ensure_future(drain_and_stop(daemon))
                status, _, _ = await pending_response
                self.assertEqual(200, status)
                await stopping

        self.run_scenario(scenario)

    def test_requests_late_in_a_drain_are_refused_as_not_run(self):
        # The run could not finish before the process exits.
        async def slow(head, body, writer, number):
            await asyncio.sleep(5)

        async def scenario():
            # The route's timeout must not end the work before the drain does.
            routes = [samples.route(timeout_ms=9_000)]
            async with fleet_lib.Fleet(
                ["katalog"] * 2, [slow] * 2, routes
            ) as fleet:
                daemon = fleet.daemons[0]

                def arrived():
                    return sum(len(target.requests) for target in fleet.targets)

                in_flight = asyncio.ensure_future(
                    fleet.send_request(deadline_ms=9_000)
                )
                await fleet_lib.wait_until(arrived)
                draining = asyncio.ensure_future(daemon.drain())
                await fleet_lib.wait_until(lambda: daemon.runner.refuse_code)
                status, head, _ = await fleet.send_request(attempt="r2")
                self.assertEqual((503, "close"), (status, head["connection"]))
                self.assertEqual("2007", head["mimosahaven-code"])
                self.assertEqual(1, arrived())
                in_flight.cancel()
                draining.cancel()

        self.run_scenario(scenario)

    def test_a_drained_target_refuses_runs_from_outdated_peers(self):
        async def scenario():
            async with fleet_lib.Fleet(["ordre", "katalog"]) as fleet:
                target_drain = fleet.daemons[1].target_drain
                target_drain.observe(False, False, clock.monotonic_ms() - 2_000)
                status, _, _ = await fleet.send_request()
                self.assertEqual(503, status)
                self.assertEqual([], fleet.targets[1].requests)

        self.run_scenario(scenario)

    def test_a_draining_target_refuses_runs_until_it_serves_again(self):
        async def scenario():
            async with fleet_lib.Fleet(["katalog"]) as fleet:
                daemon, feed = fleet.daemons[0], fleet.feeds[0]
                later_ms = clock.monotonic_ms() + 60_000
                states = (records.DRAINING_STATE, records.SERVING_STATE)
                for revision, state in enumerate(states, start=2):
                    local_target = samples.target(
                        "i-0",
                        fleet.hosts[0],
                        port=fleet_lib.TARGET_PORT,
                        state=state,
                        revision=revision,
                    )
                    feed.publish(
                        feed_lib.Changes(revision, None, [local_target], [])
                    )
                    draining = state == records.DRAINING_STATE
                    await fleet_lib.wait_until(
                        lambda draining=draining: (
                            daemon.admission.may_start(later_ms) != draining
                        )
                    )

        self.run_scenario(scenario)

    def test_runs_continue_at_a_target_that_refuses_connections(self):
        # The target may be shutting down, or have too many connections.
        async def slow(head, body, writer, number):
            await asyncio.sleep(0.5)
            writer.write(ok_response(attempt_id(head)))

        async def scenario():
            async with fleet_lib.Fleet(["katalog"], [slow]) as fleet:
                first = asyncio.ensure_future(fleet.send_request())
                await fleet_lib.wait_until(lambda: fleet.targets[0].requests)
                fleet.targets[0].close()
                second = await fleet.send_request(attempt="r2")
                self.assertEqual(503, second[0])
                self.assertEqual(200, (await first)[0])

        self.run_scenario(scenario)

    def test_runs_at_an_unresponsive_target_fail_early(self):
        async def scenario():
            async with fleet_lib.Fleet(["katalog"], [never_respond]) as fleet:
                runner = fleet.daemons[0].runner
                pending = [
                    asyncio.ensure_future(
                        fleet.send_request(attempt=f"r{n}", deadline_ms=9_000)
                    )
                    for n in range(targethealth.SILENT_RUNS_MIN)
                ]
                await fleet_lib.wait_until(
                    lambda: len(fleet.targets[0].requests) == len(pending)
                )

                async def time_out():
                    return httpclient.ConnectFailure.TIMED_OUT

                runner.pool.open = time_out
                responses = await asyncio.gather(*pending)
                self.assertEqual(
                    [502] * len(pending),
                    [response[0] for response in responses],
                )

        self.run_scenario(scenario)

    def test_after_a_pause_the_backlog_is_refused_as_not_run(self):
        async def scenario():
            async with fleet_lib.Fleet(["katalog"]) as fleet:
                pause = fleet.daemons[0].pause_detector
                pause.resumed_ms = clock.monotonic_ms()
                status, head, _ = await fleet.send_request()
                self.assertEqual(503, status)
                self.assertEqual("2008", head["mimosahaven-code"])
                self.assertEqual([], fleet.targets[0].requests)
                pause.resumed_ms = None
                status, _, _ = await fleet.send_request(attempt="r2")
                self.assertEqual(200, status)

        self.run_scenario(scenario)


class RefusingTargetsTest(testtools.TestCase):
    """All targets of a service refuse some of the runs."""

    def test_a_request_is_retried_at_its_targets_until_one_accepts_it(self):
        tried_targets = []

        async def refuse_five_times(index, head, body, writer, number):
            tried_targets.append(index)
            if len(tried_targets) <= 5:
                writer.write(
                    b"HTTP/1.1 503 X\r\nMimosahaven-Attempt: r1\r\n"
                    b"Mimosahaven-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
                )
                return
            await rawtarget.respond_ok(head, body, writer, number)

        async def scenario():
            handlers = [
                functools.partial(refuse_five_times, index)
                for index in range(4)
            ]
            services = ["ordre"] + ["katalog"] * 3
            async with fleet_lib.Fleet(services, handlers) as fleet:
                status, _, _ = await fleet.send_request()
                self.assertEqual(200, status)
                # The route allows two targets for one request.
                self.assertEqual(2, len(set(tried_targets)))

        asyncio.run(asyncio.wait_for(scenario(), 30))


class CrashingRequestTest(testtools.TestCase):
    """A request crashes each target that runs it, and is sent repeatedly."""

    SENDS = 14

    def test_a_crashing_request_is_quarantined_and_others_are_served(self):
        runs, restarts = [], []

        async def scenario():
            async def crash_on_poison(index, head, body, writer, number):
                if "poison" not in head["path"]:
                    await rawtarget.respond_ok(head, body, writer, number)
                    return
                runs.append(index)
                fleet.targets[index].close()
                writer.transport.abort()
                restarts.append(asyncio.ensure_future(restart(index)))

            async def restart(index):
                await fleet_lib.wait_until(
                    lambda: fleet.daemons[index].runner.monitor.health.down
                )
                target = fleet.targets[index]
                await target.start(fleet.hosts[index], fleet_lib.TARGET_PORT)

            handlers = [
                functools.partial(crash_on_poison, index) for index in range(5)
            ]
            services = ["ordre"] + ["katalog"] * 4
            async with fleet_lib.Fleet(services, handlers) as fleet:
                statuses = []
                for number in range(self.SENDS):
                    status, _, _ = await fleet.send_request(
                        attempt=f"p{number}", path="/x/poison"
                    )
                    statuses.append(status)
                    await fleet_lib.wait_until(
                        lambda: (
                            not any(
                                daemon.runner.monitor.health.down
                                for daemon in fleet.daemons[1:]
                            )
                        )
                    )
                self.assertEqual(503, statuses[-1])
                # Up to three crashes, plus three further runs, are allowed.
                self.assertThat(len(runs), matchers.LessThan(7), runs)
                status, _, _ = await fleet.send_request(attempt="sound")
                self.assertEqual(200, status)

        asyncio.run(asyncio.wait_for(scenario(), 30))


class UnexpectedErrorTest(testtools.TestCase):
    """An error that nobody has foreseen ends what it occurs in, no more."""

    def run_scenario(self, scenario, services=("katalog",)):
        async def run():
            async with fleet_lib.Fleet(list(services)) as fleet:
                await scenario(fleet)

        asyncio.run(asyncio.wait_for(run(), 30))

    def test_an_error_in_the_periodic_work_does_not_end_it(self):
        async def scenario(fleet):
            daemon = fleet.daemons[0]
            calls = []

            def fail(now_ms):
                calls.append(now_ms)
                raise KeyError("not foreseen")

            daemon.runner.tick = fail
            await fleet_lib.wait_until(lambda: len(calls) >= 3)
            status, _, _ = await fleet.send_request()
            self.assertEqual(200, status)

        self.run_scenario(scenario)

    def test_an_error_in_a_frame_of_a_source_does_not_end_following(self):
        async def scenario(fleet):
            followed = []
            for index, daemon in enumerate(fleet.daemons):

                def fail(host, frame, now_ms, index=index):
                    followed.append((index, host, frame))
                    raise KeyError("not foreseen")

                daemon.replica.on_source_frame = fail
            # Each subscription ends with its first frame and is renewed.
            await fleet_lib.wait_until(
                lambda: any(
                    sum(f[:2] == pair[:2] for f in followed) >= 3
                    for pair in followed
                )
            )

        self.run_scenario(scenario, ("katalog", "katalog", "katalog"))


class SettingsTest(testtools.TestCase):
    def test_changed_settings_are_reloaded_and_invalid_ones_rejected(self):
        async def scenario(path):
            async with fleet_lib.Fleet(["katalog"]) as fleet:
                daemon = fleet.daemons[0]
                raw = msgspec.to_builtins(daemon.settings)
                raw["bounds"]["grace_s"] = 9.0
                path.write_text("{}")
                daemon.settings_file = settings_lib.SettingsFile(path)
                path.write_text("// changed\n" + json.dumps(raw))
                await fleet_lib.wait_until(
                    lambda: daemon.settings.bounds.grace_s == 9.0
                )
                self.assertEqual(9.0, daemon.settings.bounds.grace_s)
                self.assertEqual(9.0, daemon.store_watch.bounds.grace_s)
                path.write_text("{")
                daemon.reload()
                self.assertEqual(9.0, daemon.settings.bounds.grace_s)

        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "settings.json"
            asyncio.run(asyncio.wait_for(scenario(path), 30))


class MalformedRequestTest(testtools.TestCase):
    def status_of(self, data):
        result = []

        async def scenario():
            async with (
                fleet_lib.Fleet(["katalog"]) as fleet,
                fleet.connect() as (reader, writer),
            ):
                writer.write(data)
                result.append((await fleet_lib.read_response(reader))[0])
                result.append(len(fleet.targets[0].requests))

        asyncio.run(asyncio.wait_for(scenario(), 30))
        return result

    def test_malformed_requests_never_reach_a_target(self):
        cases = (
            (400, b"no http at all\r\n\r\n"),
            (400, b"GET /x/ HTTP/1.1\r\nHost: a.example\r\n\r\n"),
            (
                400,
                fleet_lib.request(
                    extra="Content-Length: 3\r\nTransfer-Encoding: chunked\r\n"
                )
                + b"0\r\n\r\n",
            ),
            (431, fleet_lib.request(extra="A: " + "x" * 20_000 + "\r\n")),
            (400, fleet_lib.request(deadline_ms="soon")),
        )
        for status, data in cases:
            self.assertEqual([status, 0], self.status_of(data))

    def test_a_chunked_body_arrives_complete(self):
        data = fleet_lib.request(
            method="POST", extra="Transfer-Encoding: chunked\r\n"
        )
        self.assertEqual(
            [200, 1], self.status_of(data + b"3\r\nabc\r\n0\r\n\r\n")
        )

    def test_a_body_does_not_count_as_the_head_of_the_next_request(self):
        first = fleet_lib.request(method="POST", body=b"x" * 40_000)
        second = fleet_lib.request(attempt="r2")

        async def scenario():
            async with (
                fleet_lib.Fleet(["katalog"]) as fleet,
                fleet.connect() as (reader, writer),
            ):
                writer.write(first + second[:20])
                status, _, _ = await fleet_lib.read_response(reader)
                self.assertEqual(200, status)
                writer.write(second[20:])
                status, _, _ = await fleet_lib.read_response(reader)
                self.assertEqual(200, status)

        asyncio.run(asyncio.wait_for(scenario(), 30))

    def test_an_unfinished_header_is_refused_at_the_limit(self):
        # The limit, and what the daemon reads at once.
        sent_max_bytes = records.CallerLimits().header_bytes_max + 1_000_000
        block = b"x" * 16_384

        async def scenario():
            async with (
                fleet_lib.Fleet(["katalog"]) as fleet,
                fleet.connect() as (reader, writer),
            ):
                response = asyncio.ensure_future(
                    fleet_lib.read_response(reader)
                )
                writer.write(fleet_lib.request()[:-2] + b"X-A: ")
                sent_bytes = 0
                while not response.done() and sent_bytes < sent_max_bytes:
                    writer.write(block)
                    sent_bytes += len(block)
                    await asyncio.sleep(0.01)
                status, _, _ = await response
                self.assertEqual(431, status)

        asyncio.run(asyncio.wait_for(scenario(), 30))
