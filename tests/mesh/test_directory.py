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


class LeavingTargetTest(testtools.TestCase):
    """Guards against DRAIN: a target that has said that it leaves is used.

    The list does not say so, or no longer.
    """

    def setUp(self):
        super().setUp()
        self.directory = directory_lib.TargetDirectory()
        self.target = samples.target("i-1", started_unix_ms=5)
        self.directory.put(self.target)
        self.assertTrue(self.directory.mark_leaving(self.target))

    def serving(self):
        return {t.target_id for t in self.directory.serving("katalog")}

    def test_it_is_not_serving(self):
        self.assertEqual(set(), self.serving())
        self.assertFalse(self.directory.mark_leaving(self.target))

    def test_a_later_entry_does_not_bring_it_back(self):
        self.directory.put(samples.target("i-1", started_unix_ms=5, revision=9))
        self.assertEqual(set(), self.serving())
        self.directory.remove("i-1", 0.0, False)
        self.directory.replace([self.target], 10, 0.0, False)
        self.assertEqual(set(), self.serving())

    def test_its_next_incarnation_serves(self):
        self.directory.put(samples.target("i-1", started_unix_ms=6, revision=9))
        self.assertEqual({"i-1"}, self.serving())

    def test_memory_is_bounded(self):
        for number in range(directory_lib.LEAVING_MAX):
            self.directory.mark_leaving(samples.target(f"i-{number + 2}"))
        # The oldest one is forgotten.
        self.assertEqual({"i-1"}, self.serving())
