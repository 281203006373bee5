"""Tests of mimosahaven.status."""

import msgspec
import testtools
from testtools import matchers

from mimosahaven import status
from tests import fakedaemons


class StatusTest(testtools.TestCase):
    def test_round_trip(self):
        original = fakedaemons.make_status(
            "t0",
            targets=[fakedaemons.make_target_status("t1", "suspect")],
            quarantine=[status.QuarantineStatus("f", 2, True, 5.0)],
        )
        self.assertThat(
            status.decode(status.encode(original)), matchers.Equals(original)
        )

    def test_newer_daemon_may_add_fields(self):
        # Command-line tools must work while a fleet is being upgraded.
        data = status.encode(fakedaemons.make_status("t0"))
        data = data[:-1] + b',"new_field":1}'
        self.assertThat(
            status.decode(data), matchers.Equals(fakedaemons.make_status("t0"))
        )

    def test_other_json_is_refused(self):
        self.assertRaises(msgspec.ValidationError, status.decode, b"{}")
