import testtools

from mimosahaven.mesh import directory as directory_lib
from mimosahaven.mesh import records
from tests.mesh import samples


class TargetDirectoryTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.directory = directory_lib.TargetDirectory()
        self.directory.replace(
            [samples.target("i-1"), samples.target("i-2", "10.0.0.2")],
            5,
            0.0,
            False,
        )

    def serving(self):
        return {t.target_id for t in self.directory.serving("katalog")}

    def test_draining_target_is_not_serving(self):
        self.directory.put(
            samples.target("i-1", state=records.DRAINING_STATE, revision=6)
        )
        self.assertEqual({"i-2"}, self.serving())

    def test_older_list_is_rejected(self):
        self.assertFalse(self.directory.replace([], 4, 0.0, False))
        self.assertEqual({"i-1", "i-2"}, self.serving())

    def test_reused_address_belongs_to_the_newest_entry(self):
        self.directory.put(samples.target("i-3", service="proof", revision=9))
        self.assertEqual({"i-2"}, self.serving())
        self.assertEqual(
            "i-3", self.directory.at_address("10.0.0.1", 80).target_id
        )

    def test_entry_missing_after_an_outage_is_kept_for_a_grace_period(self):
        self.directory.replace(
            [samples.target("i-2", "10.0.0.2")], 6, 1000.0, True
        )
        self.assertEqual({"i-1", "i-2"}, self.serving())
        end_ms = 1000.0 + directory_lib.LAPSE_GRACE_MS
        self.assertEqual([], self.directory.expire(end_ms - 1))
        self.assertEqual(
            ["i-1"], [t.target_id for t in self.directory.expire(end_ms)]
        )
        self.assertEqual({"i-2"}, self.serving())

    def test_entry_rewritten_within_the_grace_period_stays(self):
        self.directory.remove("i-1", 1000.0, True)
        self.directory.put(samples.target("i-1", revision=7))
        self.assertEqual([], self.directory.expire(9000.0))
        self.assertEqual({"i-1", "i-2"}, self.serving())

    def test_entry_removed_without_an_outage_is_removed_immediately(self):
        self.directory.remove("i-1", 1000.0, False)
        self.assertEqual({"i-2"}, self.serving())
