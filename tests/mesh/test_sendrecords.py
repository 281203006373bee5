import asyncio

import testtools

from mimosahaven.mesh import frames
from mimosahaven.mesh import sendrecords

Arrival = sendrecords.Arrival
GENERATION_MS = sendrecords.GENERATION_MS


class SendRecordsTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        loop = asyncio.new_event_loop()
        self.addCleanup(loop.close)
        self.outcome = loop.create_future()
        self.records = sendrecords.SendRecords("a", 0.0)
        self.first = self.records.current

    def begin_generations(self, count):
        for _ in range(count):
            self.now_ms = getattr(self, "now_ms", 0.0) + GENERATION_MS
            self.records.tick(self.now_ms)

    def add(self, send_id="s", generation=None):
        return self.records.add(send_id, generation or self.first, self.outcome)

    def test_a_send_is_recorded_once(self):
        self.assertEqual(Arrival.NEW, self.add())
        self.assertEqual(Arrival.RECORDED, self.add())
        record = self.records.inquire("s", self.first)
        self.assertIs(self.outcome, record.outcome)

    def test_an_inquiry_that_is_repeated_bars_the_send_again(self):
        # The first one was cut before its reply arrived.
        for _ in range(2):
            record = self.records.inquire("s", self.first)
            self.assertIsNone(record.outcome)
        self.assertEqual(Arrival.BARRED, self.add())

    def test_a_send_is_found_after_the_next_generation_has_begun(self):
        self.begin_generations(1)
        self.assertNotEqual(self.first, self.records.current)
        self.assertEqual(Arrival.NEW, self.add())
        self.begin_generations(1)
        record = self.records.inquire("s", self.first)
        self.assertIs(self.outcome, record.outcome)

    def test_a_discarded_record_is_unknown_and_not_barred(self):
        # Guards against REFUSED: "not run" for a send whose record has expired.
        self.add()
        self.begin_generations(sendrecords.GENERATIONS_KEPT)
        self.assertIsNone(self.records.inquire("s", self.first))
        self.assertEqual(Arrival.UNKNOWN, self.add())
        self.assertEqual(0, len(self.records))

    def test_the_bar_of_a_discarded_generation_still_holds(self):
        self.records.inquire("s", self.first)
        self.begin_generations(sendrecords.GENERATIONS_KEPT)
        self.assertEqual(Arrival.UNKNOWN, self.add())

    def test_the_number_of_records_is_bounded(self):
        self.patch(sendrecords, "GENERATION_RECORDS_MAX", 4)
        for number in range(100):
            self.add(f"s{number}", self.records.current)
            self.records.tick(0.0)
        self.assertTrue(len(self.records) <= 12)
        self.assertIsNone(self.records.inquire("s0", self.first))

    def test_another_incarnation_knows_nothing(self):
        former = frames.RecordGeneration("b", 1)
        self.assertIsNone(self.records.inquire("s", former))
        self.assertEqual(Arrival.UNKNOWN, self.add("s", former))

    def test_without_a_generation_only_a_run_is_known(self):
        self.assertIsNone(self.records.inquire("s", None))
        self.assertIsNone(self.records.inquire("s", None))
        self.assertEqual(Arrival.BARRED, self.records.add("s", None, None))
        self.records.add("t", None, self.outcome)
        self.begin_generations(1)
        record = self.records.inquire("t", None)
        self.assertIs(self.outcome, record.outcome)
