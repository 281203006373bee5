import asyncio

import testtools

from mimosahaven import clock
from mimosahaven import codes
from mimosahaven.mesh import frames
from mimosahaven.mesh import outcomes
from mimosahaven.mesh import peerpool
from mimosahaven.mesh import settings as settings_lib
from tests.mesh import samples
from tests.mesh import test_frames

Code = codes.Code


class ScriptedPeer:
    """A peer whose replies to frames are scripted by the test.

    Args:
      make_reply: Called with a frame and the number of frames received so far;
        returns the reply, None for no reply, "reset" to reset the connection,
        or a queue of bytes, sent one after the other, that ends with None.
    """

    def __init__(self, make_reply):
        self._make_reply = make_reply
        self.received = []

    async def start(self):
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return server, server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        decoder = frames.FrameDecoder()
        while data := await reader.read(65536):
            for frame in decoder.feed(data):
                self.received.append(frame)
                reply = self._make_reply(frame, len(self.received))
                if reply is None:
                    continue
                if reply == "reset":
                    writer.transport.abort()
                    return
                if isinstance(reply, asyncio.Queue):
                    await send_all(reply, writer)
                    continue
                writer.write(frames.encode(reply))
        writer.close()


async def send_all(queue, writer):
    while data := await queue.get():
        writer.write(data)


def ok_answer(body=b"hi"):
    return frames.Answer(200, b"OK", [], body, False, samples.load(), {})


def make_settings(port):
    return settings_lib.convert(
        {
            "vm": "vm",
            "failure_domain": "a",
            "service": "katalog",
            "target": "127.0.0.1:1",
            "listen": {
                "callers": "127.0.0.1:1",
                "peers": f"127.0.0.1:{port}",
                "readiness": "127.0.0.1:1",
            },
            "store": {"endpoint": "127.0.0.1:1"},
            "peers": {
                "accept_timeout_ms": 200,
                "proof_timeout_ms": 100,
                "silence_ms": 200,
            },
        },
        settings_lib.MeshSettings,
    )


class PeerPoolTest(testtools.TestCase):
    def run_against(self, make_reply, at_most_once=True):
        peer = ScriptedPeer(make_reply)

        async def scenario():
            server, port = await peer.start()
            settings = make_settings(port)
            pool = peerpool.PeerPool(settings, lambda host, load: None)
            now_ms = clock.monotonic_ms()
            run = test_frames.run()
            run.once = at_most_once
            send = outcomes.Send(run, now_ms + 2_000, now_ms)
            try:
                return await pool.run("127.0.0.1", send)
            finally:
                pool.close()
                server.close()

        outcome = asyncio.run(asyncio.wait_for(scenario(), 30))
        return outcome, [type(frame).__name__ for frame in peer.received]

    def test_an_unresponsive_peer_is_not_sent_at_most_once_runs(self):
        # The kernel of a VM whose processes are frozen still accepts
        # connections.
        outcome, received = self.run_against(lambda frame, number: None)
        self.assertEqual(outcomes.Refused(Code.LINK_LOST), outcome)
        self.assertNotIn("Run", received)

    def inquire_after_reset(self, generation, proof):
        """Returns the outcome of a run whose inquiry is answered by a bar.

        Args:
          generation: Generation of records that the peer names at first.
          proof: Generation on which the bar rests.
        """

        def make_reply(frame, number):
            match frame:
                case frames.Ping():
                    return frames.Pong(samples.load(), generation)
                case frames.Run():
                    self.assertEqual(generation, frame.generation)
                    return "reset"
                case frames.Inquire():
                    self.assertEqual(generation, frame.generation)
                    return frames.Refused(
                        int(Code.BARRED), False, samples.load(), proof
                    )

        outcome, received = self.run_against(make_reply)
        self.assertEqual(["Ping", "Run", "Inquire"], received)
        return outcome

    def test_an_inquiry_about_a_lost_run_bars_it(self):
        generation = frames.RecordGeneration("a", 3)
        outcome = self.inquire_after_reset(generation, generation)
        self.assertEqual(outcomes.Refused(Code.BARRED), outcome)

    def test_a_bar_of_a_peer_without_generations_proves_nothing(self):
        # Guards against TWICE while daemons of the former version are replaced
        # or come back: they bar what an earlier incarnation may have run.
        generation = frames.RecordGeneration("a", 3)
        for named, proof in (
            (None, None),
            (generation, None),
            (generation, frames.RecordGeneration("b", 3)),
        ):
            outcome = self.inquire_after_reset(named, proof)
            self.assertEqual(outcomes.Failed(Code.RECORD_LOST), outcome)

    def test_an_inquiry_about_a_completed_run_returns_its_response(self):
        def make_reply(frame, number):
            match frame:
                case frames.Ping():
                    return frames.Pong(samples.load())
                case frames.Run():
                    return None
                case frames.Inquire():
                    return ok_answer()

        outcome, _ = self.run_against(make_reply)
        self.assertEqual(b"hi", bytes(outcome.stream.body))

    def test_a_retryable_run_is_sent_without_a_ping(self):
        outcome, received = self.run_against(
            lambda frame, number: ok_answer(), at_most_once=False
        )
        self.assertEqual(["Run"], received)
        self.assertTrue(outcome.stream.complete)

    def test_a_lost_retryable_run_has_failed(self):
        outcome, _ = self.run_against(
            lambda frame, number: "reset", at_most_once=False
        )
        self.assertEqual(outcomes.Failed(Code.LINK_LOST), outcome)


class SurplusFramesTest(testtools.TestCase):
    """A peer that sends frames of an earlier exchange once more."""

    def run_twice(self, send_first_answer):
        """Sends two runs and returns the bodies of their responses.

        Args:
          send_first_answer: Called with the queue of bytes for the connection
            and a coroutine function that waits until the pool has an idle
            connection.
        """
        queue = asyncio.Queue()
        replies = iter((queue,))

        def make_reply(frame, number):
            return next(replies, ok_answer(b"second"))

        peer = ScriptedPeer(make_reply)

        async def run(pool):
            now_ms = clock.monotonic_ms()
            frame = test_frames.run()
            frame.once = False
            send = outcomes.Send(frame, now_ms + 2_000, now_ms)
            outcome = await pool.run("127.0.0.1", send)
            return bytes(outcome.stream.body)

        async def scenario():
            server, port = await peer.start()
            pool = peerpool.PeerPool(
                make_settings(port), lambda host, load: None
            )
            try:
                first = asyncio.ensure_future(run(pool))
                await send_first_answer(queue, first)
                queue.put_nowait(None)
                return [await first, await run(pool)]
            finally:
                pool.close()
                server.close()

        return asyncio.run(asyncio.wait_for(scenario(), 30))

    def test_a_second_answer_in_the_same_packet(self):
        async def send(queue, first):
            queue.put_nowait(frames.encode(ok_answer(b"first")) * 2)

        self.assertEqual([b"first", b"second"], self.run_twice(send))

    def test_a_second_answer_while_the_connection_is_idle(self):
        async def send(queue, first):
            queue.put_nowait(frames.encode(ok_answer(b"first")))
            await first
            queue.put_nowait(frames.encode(ok_answer(b"first")))
            # Until the daemon has read it.
            await asyncio.sleep(0.05)

        self.assertEqual([b"first", b"second"], self.run_twice(send))

    def test_a_second_answer_that_arrives_in_parts(self):
        async def send(queue, first):
            data = frames.encode(ok_answer(b"first"))
            queue.put_nowait(data + data[:10])
            await first
            await asyncio.sleep(0.05)

        self.assertEqual([b"first", b"second"], self.run_twice(send))
