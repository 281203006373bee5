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


class PassedOnAnnouncementsTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.left = []
        self.passed_on = announcements.PassedOnAnnouncements(
            HEADERS, lambda target: self.left.append(target.target_id)
        )

    def record(self, limit, target_id="i-1", started_unix_ms=1):
        headers = [] if limit is None else [(b"limit", limit)]
        target = samples.target(target_id, started_unix_ms=started_unix_ms)
        self.passed_on.record(target, headers)

    def limit_of(self, target_id="i-1", started_unix_ms=1):
        target = samples.target(target_id, started_unix_ms=started_unix_ms)
        return self.passed_on.rate_limit_per_s(target)

    def test_the_latest_response_counts(self):
        self.record(b"20")
        self.record(b"10")
        self.assertEqual(10.0, self.limit_of())
        self.record(None)
        self.assertIsNone(self.limit_of())

    def test_an_invalid_announcement_says_nothing(self):
        self.record(b"20")
        self.record(b"x")
        self.assertEqual(20.0, self.limit_of())

    def test_a_new_incarnation_has_no_limit_yet(self):
        self.record(b"20")
        self.assertIsNone(self.limit_of(started_unix_ms=2))

    def test_memory_is_bounded(self):
        for number in range(announcements.KNOWN_MAX + 5):
            self.record(b"1", f"i-{number}")
        self.assertEqual(announcements.KNOWN_MAX, len(self.passed_on))
        self.assertIsNone(self.limit_of("i-0"))

    def test_a_target_that_leaves(self):
        self.passed_on.record(samples.target("i-3"), [(b"leaving", b"1")])
        self.assertEqual(["i-3"], self.left)
