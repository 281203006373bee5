import testtools

from mimosahaven.mesh import announcements
from mimosahaven.mesh import settings as settings_lib

HEADERS = settings_lib.HeaderNames(rate_limit="Limit")


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
