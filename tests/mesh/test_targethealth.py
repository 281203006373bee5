import testtools

from mimosahaven.mesh import targethealth

SILENCE_MS = targethealth.SILENCE_MS


class TargetHealthTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.health = targethealth.TargetHealth(0.0)

    def test_silence_with_requests_in_flight_needs_a_probe(self):
        self.assertFalse(self.health.needs_probe(3, SILENCE_MS))
        self.assertTrue(self.health.needs_probe(3, SILENCE_MS + 1))

    def test_any_response_resets_the_silence(self):
        self.health.record_response(SILENCE_MS)
        self.assertFalse(self.health.needs_probe(9, SILENCE_MS + 1))

    def test_idle_target_needs_no_probe(self):
        self.assertFalse(self.health.needs_probe(0, 9_000.0))
        self.assertFalse(self.health.needs_probe(5, 9_001.0))

    def test_only_one_probe_at_a_time(self):
        self.health.probing = True
        self.assertFalse(self.health.needs_probe(9, 9_000.0))
