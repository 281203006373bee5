import testtools

from mimosahaven.mesh import announcements
from mimosahaven.mesh import settings as settings_lib
from tests.mesh import samples

HEADERS = settings_lib.HeaderNames(rate_limit="Limit", leaving="Leaving")


class AnnouncementReaderTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.reader = announcements.AnnouncementReader(HEADERS)

    def test_rate_limit(self):
        for value, limit_per_s in ((b"26.2", 26.2), (b"40", 40.0), (b"0", 0.0)):
            announcement = self.reader.read([(b"X", b"1"), (b"LIMIT", value)])
            self.assertEqual(limit_per_s, announcement.rate_limit_per_s)

    def test_a_response_without_the_header_announces_no_limit(self):
        self.assertIsNone(self.reader.read([(b"X", b"1")]).rate_limit_per_s)

    def test_invalid_rate_limit(self):
        for value in (b"", b"many", b"-1", b"nan", b"inf", b"1e999"):
            self.assertRaises(
                announcements.InvalidAnnouncementError,
                self.reader.read,
                [(b"limit", value)],
            )

    def test_leaving(self):
        for value, leaving in ((b"1", True), (b"0", False), (b"", False)):
            announcement = self.reader.read([(b"leaving", value)])
            self.assertEqual(leaving, announcement.leaving)
        self.assertFalse(self.reader.read([]).leaving)


class KnownRateLimitsTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.known = announcements.KnownRateLimits()

    def test_the_latest_response_counts(self):
        target = samples.target("i-1")
        self.known.record(target, 20.0)
        self.known.record(target, 10.0)
        self.assertEqual(10.0, self.known.get(target))
        self.known.record(target, None)
        self.assertIsNone(self.known.get(target))

    def test_a_new_incarnation_has_no_limit_yet(self):
        self.known.record(samples.target("i-1", started_unix_ms=1), 20.0)
        self.assertIsNone(
            self.known.get(samples.target("i-1", started_unix_ms=2))
        )

    def test_memory_is_bounded(self):
        for number in range(announcements.KNOWN_MAX + 5):
            self.known.record(samples.target(f"i-{number}"), 1.0)
        self.assertEqual(announcements.KNOWN_MAX, len(self.known))
        self.assertIsNone(self.known.get(samples.target("i-0")))
