"""Guards against MIXED: an inquiry is answered with a part of a response.

The response had been read in part for the connection on which it was sent, and
what was left of it was told as the whole.
"""

import asyncio

import testtools

from mimosahaven import clock
from mimosahaven import codes
from mimosahaven.mesh import frames
from mimosahaven.mesh import keptbodies
from mimosahaven.mesh import outcomes
from mimosahaven.mesh import responsestream
from tests.mesh import fleet as fleet_lib
from tests.mesh import test_frames

BODY = bytes(range(256)) * 2_000
PIECE = 16_384


class KeptBodiesTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.bodies = keptbodies.KeptBodies(bytes_max=100)

    def test_the_oldest_body_makes_room(self):
        first, second = self.bodies.add(), self.bodies.add()
        first.append(b"x" * 60)
        second.append(b"y" * 40)
        self.assertFalse(first.is_lost)
        second.append(b"y")
        self.assertTrue(first.is_lost)
        self.assertEqual(b"y" * 41, bytes(second.data))
        self.assertEqual(41, self.bodies.total_bytes)

    def test_a_body_above_the_limit_is_lost(self):
        body = self.bodies.add()
        for _ in range(11):
            body.append(b"x" * 10)
        body.append(b"x")
        self.assertTrue(body.is_lost)
        self.assertEqual((0, b""), (self.bodies.total_bytes, bytes(body.data)))

    def test_a_discarded_body_is_freed_once(self):
        body = self.bodies.add()
        body.append(b"x")
        body.discard()
        body.discard()
        self.assertEqual(0, self.bodies.total_bytes)


class InquiryAboutStreamedResponseTest(testtools.TestCase):
    def run_scenario(self, scenario, is_cut=False):
        """Runs an order with a large response; the scenario is given it."""

        async def respond(head, body, writer, number):
            writer.write(
                b"HTTP/1.1 200 OK\r\nMimosahaven-Attempt: a\r\n"
                b"Mimosahaven-Signature: s1\r\nContent-Length: %d\r\n\r\n"
                % len(BODY)
            )
            for start in range(0, len(BODY), PIECE):
                if is_cut and start > len(BODY) / 2:
                    writer.transport.abort()
                    return
                writer.write(BODY[start : start + PIECE])
                await asyncio.sleep(0.002)

        async def run():
            async with fleet_lib.Fleet(["katalog"], [respond]) as fleet:
                runner = fleet.daemons[0].runner
                message = test_frames.run(send_id="a#1")
                message.generation = runner.send_records.current
                message.headers = [(b"Mimosahaven-Attempt", b"a")]
                now_ms = clock.monotonic_ms()
                send = outcomes.Send(message, now_ms + 5_000, now_ms)
                inquiry = frames.Inquire("a#1", message.generation)
                outcome = await runner.run(send)
                await scenario(runner, outcome.stream, inquiry)

        asyncio.run(asyncio.wait_for(run(), 30))

    async def assert_whole(self, runner, inquiry):
        told = await runner.inquire(inquiry)
        self.assertTrue(told.stream.complete)
        self.assertEqual(BODY, await told.stream.read())

    def test_while_it_is_read_and_after_it(self):
        async def scenario(runner, stream, inquiry):
            await stream.read()
            await self.assert_whole(runner, inquiry)
            while await stream.read():
                pass
            await self.assert_whole(runner, inquiry)

        self.run_scenario(scenario)

    def test_when_its_reader_has_stopped(self):
        # The connection of the reader is silent.
        async def scenario(runner, stream, inquiry):
            self.assertThat(
                len(BODY),
                testtools.matchers.GreaterThan(responsestream.PAUSE_BYTES),
            )
            await self.assert_whole(runner, inquiry)

        self.run_scenario(scenario)

    def test_a_copy_that_made_room_is_unknown(self):
        async def scenario(runner, stream, inquiry):
            stream.kept.discard()
            while await stream.read():
                pass
            told = await runner.inquire(inquiry)
            lost = outcomes.Failed(codes.Code.ANSWER_TRUNCATED)
            self.assertEqual(lost, told)

        self.run_scenario(scenario)

    def test_a_response_that_breaks_off_is_unknown(self):
        async def scenario(runner, stream, inquiry):
            await stream.read()
            told = await runner.inquire(inquiry)
            lost = outcomes.Failed(codes.Code.ANSWER_TRUNCATED)
            self.assertEqual(lost, told)

        self.run_scenario(scenario, is_cut=True)
