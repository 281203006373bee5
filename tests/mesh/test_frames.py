import hypothesis
import msgspec
import testtools
from hypothesis import strategies

from mimosahaven.mesh import frames
from tests.mesh import samples


def run(body=b"", send_id="a#1"):
    return frames.Run(
        "10.0.0.1",
        send_id,
        "a",
        "i-1",
        True,
        7,
        20.0,
        100.0,
        False,
        "katalog",
        "GET",
        b"/x/",
        [(b"Host", b"a")],
        body,
        1,
        2,
    )


class FrameDecoderTest(testtools.TestCase):
    @hypothesis.settings(database=None, derandomize=True)
    @hypothesis.given(
        strategies.lists(strategies.binary(max_size=300), max_size=5),
        strategies.integers(1, 50),
    )
    def test_frames_decode_from_any_segmentation(self, bodies, step):
        sent = [run(body) for body in bodies] + [frames.Ping("10.0.0.1", 1, 2)]
        data = b"".join(map(frames.encode, sent))
        decoder = frames.FrameDecoder()
        received = []
        for start in range(0, len(data), step):
            received += decoder.feed(data[start : start + step])
        self.assertEqual(sent, received)

    def test_load_and_call_tree_round_trip(self):
        load = samples.load(thresholds={"presse": (70, 3.5)})
        answer = frames.Answer(
            200, b"OK", [], b"x", False, load, {"a": 1.0}, {"a": 40.0}
        )
        self.assertEqual(
            [answer], frames.FrameDecoder().feed(frames.encode(answer))
        )

    def test_an_answer_of_a_daemon_without_slot_times_is_accepted(self):
        # Daemons of two versions run side by side during an update.
        load = samples.load()
        fields = ["Answer", 200, b"OK", [], b"x", False, load, {"a": 1.0}]
        body = msgspec.msgpack.encode(fields)
        data = len(body).to_bytes(4, "big") + body
        (answer,) = frames.FrameDecoder().feed(data)
        self.assertEqual({}, answer.slot_ms)

    def test_frames_of_a_daemon_without_generations_are_accepted(self):
        load = msgspec.to_builtins(samples.load())
        for fields in (["Pong", load], ["Inquire", "a#1"]):
            body = msgspec.msgpack.encode(fields)
            data = len(body).to_bytes(4, "big") + body
            (frame,) = frames.FrameDecoder().feed(data)
            self.assertIsNone(frame.generation)

    def test_a_daemon_without_generations_accepts_frames_with_them(self):
        class FormerInquire(msgspec.Struct, array_like=True, tag="Inquire"):
            send_id: str

        generation = frames.RecordGeneration("a", 1)
        data = frames.encode(frames.Inquire("a#1", generation))
        former = msgspec.msgpack.decode(data[4:], type=FormerInquire)
        self.assertEqual("a#1", former.send_id)

    def test_invalid_data_is_an_error(self):
        for data in (b"GET / HTTP/1.1\r\n\r\n", b"\0\0\0\1\xc1"):
            decoder = frames.FrameDecoder()
            self.assertRaises(frames.FrameError, decoder.feed, data)

    def test_deeply_nested_data_is_an_error(self):
        # An End with one more field, of arrays in arrays.
        body = b"\x93\xa3End\xc3" + b"\x91" * 100_000 + b"\xc0"
        data = len(body).to_bytes(4, "big") + body
        decoder = frames.FrameDecoder()
        self.assertRaises(frames.FrameError, decoder.feed, data)
