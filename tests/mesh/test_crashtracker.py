import testtools

from mimosahaven.mesh import crashtracker as crashtracker_lib


class CrashTrackerTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.tracker = crashtracker_lib.CrashTracker()

    def record_crashes(self, times_ms, ran_ms=50.0, fingerprint="f"):
        for at_ms in times_ms:
            self.tracker.record_crash(fingerprint, ran_ms, at_ms)

    def test_request_that_crashes_targets_in_turn_is_quarantined(self):
        self.record_crashes([0.0, 3_000.0])
        self.assertFalse(self.tracker.is_quarantined("f", 3_000.0))
        self.record_crashes([6_000.0])
        self.assertTrue(self.tracker.is_quarantined("f", 6_000.0))
        self.assertFalse(self.tracker.is_quarantined("other", 6_000.0))

    def test_simultaneous_crashes_count_once(self):
        # A frequent request may be running on all of the targets that crash.
        self.record_crashes([0.0, 10.0, 20.0, 30.0], ran_ms=60.0)
        self.assertFalse(self.tracker.is_quarantined("f", 30.0))

    def test_success_clears_the_count(self):
        self.record_crashes([0.0, 3_000.0])
        self.assertTrue(self.tracker.clear("f"))
        self.record_crashes([6_000.0])
        self.assertFalse(self.tracker.is_quarantined("f", 6_000.0))
        self.assertFalse(self.tracker.clear("other"))

    def test_quarantine_ends(self):
        self.record_crashes([0.0, 3_000.0, 6_000.0])
        later_ms = 6_000.0 + crashtracker_lib.QUARANTINE_MS
        self.assertFalse(self.tracker.is_quarantined("f", later_ms))
        self.record_crashes([later_ms])
        self.assertFalse(self.tracker.is_quarantined("f", later_ms))

    def test_number_of_records_is_bounded(self):
        for number in range(crashtracker_lib.RECORDS_MAX + 5):
            self.record_crashes([0.0], fingerprint=str(number))
        self.assertEqual(crashtracker_lib.RECORDS_MAX, len(self.tracker))
