import testtools

from mimosahaven.mesh import crashtracker as crashtracker_lib


class StrikesTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.crashes = crashtracker_lib.CrashTracker()

    def crash(self, times_ms, ran_ms=50.0, fingerprint="f"):
        for at_ms in times_ms:
            self.crashes.record_crash(fingerprint, ran_ms, at_ms)

    def test_a_request_that_crashes_one_target_after_the_other_is_held(self):
        self.crash([0.0, 3_000.0])
        self.assertFalse(self.crashes.is_quarantined("f", 3_000.0))
        self.crash([6_000.0])
        self.assertTrue(self.crashes.is_quarantined("f", 6_000.0))
        self.assertFalse(self.crashes.is_quarantined("other", 6_000.0))

    def test_targets_that_crash_together_count_once(self):
        # A popular request runs at all of them.
        self.crash([0.0, 10.0, 20.0, 30.0], ran_ms=60.0)
        self.assertFalse(self.crashes.is_quarantined("f", 30.0))

    def test_a_success_clears(self):
        self.crash([0.0, 3_000.0])
        self.assertTrue(self.crashes.clear("f"))
        self.crash([6_000.0])
        self.assertFalse(self.crashes.is_quarantined("f", 6_000.0))
        self.assertFalse(self.crashes.clear("other"))

    def test_the_hold_ends(self):
        self.crash([0.0, 3_000.0, 6_000.0])
        later_ms = 6_000.0 + crashtracker_lib.QUARANTINE_MS
        self.assertFalse(self.crashes.is_quarantined("f", later_ms))
        self.crash([later_ms])
        self.assertFalse(self.crashes.is_quarantined("f", later_ms))

    def test_the_memory_is_bounded(self):
        for number in range(crashtracker_lib.RECORDS_MAX + 5):
            self.crash([0.0], fingerprint=str(number))
        self.assertEqual(crashtracker_lib.RECORDS_MAX, len(self.crashes))
