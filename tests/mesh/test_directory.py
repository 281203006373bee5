import testtools
from testtools import matchers

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


class RestoredListTest(testtools.TestCase):
    """Guards against CONFIG and DRAIN: the list of a restored store is older.

    Revisions of the new epoch are lower numbers than the known ones.
    """

    def setUp(self):
        super().setUp()
        self.directory = directory_lib.TargetDirectory()
        self.replace(1, 20, [self.entry("i-1"), self.entry("i-2")])

    def entry(self, target_id, epoch=1, number=10, **changes):
        high, low = divmod(int(target_id[2:]), 256)
        return samples.target(
            target_id,
            f"10.0.{high}.{low}",
            revision=records.revision(epoch, number),
            **{"started_unix_ms": 5, "sequence": 1} | changes,
        )

    def replace(self, epoch, number, targets, now_ms=0.0):
        return self.directory.replace(
            targets, records.revision(epoch, number), now_ms, False
        )

    def serving(self):
        return {t.target_id for t in self.directory.serving("katalog")}

    def test_a_lower_revision_of_a_later_epoch_is_newer(self):
        new = self.entry("i-3", 2, 16)
        self.assertTrue(
            self.replace(2, 17, [self.entry("i-1", 2), new], 1_000.0)
        )
        self.assertEqual(records.revision(2, 17), self.directory.revision)
        self.assertThat(self.serving(), matchers.Contains("i-3"))
        self.assertFalse(self.replace(1, 30, []))

    def test_a_target_that_the_copy_lacks_is_kept_for_a_grace_period(self):
        self.replace(2, 17, [self.entry("i-1", 2)], 1_000.0)
        self.assertEqual({"i-1", "i-2"}, self.serving())
        end_ms = 1_000.0 + directory_lib.LAPSE_GRACE_MS
        self.assertEqual([], self.directory.expire(end_ms - 1))
        self.directory.expire(end_ms)
        self.assertEqual({"i-1"}, self.serving())

    def test_a_draining_target_does_not_serve_again(self):
        self.directory.put(
            self.entry(
                "i-1", number=21, sequence=9, state=records.DRAINING_STATE
            )
        )
        self.replace(2, 17, [self.entry("i-1", 2), self.entry("i-2", 2)])
        self.assertEqual({"i-2"}, self.serving())
        # Until it says so itself.
        self.directory.put(self.entry("i-1", 2, 18, sequence=10))
        self.assertEqual({"i-1", "i-2"}, self.serving())

    def test_a_target_that_has_started_again_is_not_taken_for_its_past(self):
        new = self.entry("i-1", number=21, started_unix_ms=9, slots=77)
        self.directory.put(new)
        self.replace(2, 17, [self.entry("i-1", 2, sequence=8)])
        self.assertEqual(77, self.directory.get("i-1").slots)

    def remove_and_restore(self):
        self.directory.remove("i-1", 0.0, False)
        listed = [self.entry("i-1", 2), self.entry("i-2", 2)]
        self.replace(2, 17, listed, 1_000.0)

    def test_a_target_that_has_left_is_not_used(self):
        self.remove_and_restore()
        self.assertEqual({"i-2"}, self.serving())
        # Other replicas decide for themselves.
        listed = {target.target_id for target in self.directory.listed}
        self.assertEqual({"i-1", "i-2"}, listed)
        # The platform removes an entry that is not renewed.
        self.directory.remove("i-1", 5_000.0, False)
        self.assertEqual([], self.directory.restore_renewed(1e9))

    def test_a_target_that_has_returned_is_used_once_its_entry_has_lasted(self):
        self.remove_and_restore()
        renewed_ms = 1_000.0 + 4 * 1_500.0
        self.replace(2, 18, self.directory.listed, 3_000.0)
        self.assertEqual([], self.directory.restore_renewed(renewed_ms - 1))
        self.directory.restore_renewed(renewed_ms)
        self.assertEqual({"i-1", "i-2"}, self.serving())

    def test_a_target_that_has_returned_is_used_when_it_writes_its_entry(self):
        self.remove_and_restore()
        self.directory.put(self.entry("i-1", 2, 18, sequence=30))
        self.assertEqual({"i-1", "i-2"}, self.serving())

    def test_a_new_start_of_a_target_that_has_left_is_used(self):
        self.directory.remove("i-1", 0.0, False)
        self.replace(2, 17, [self.entry("i-1", 2, started_unix_ms=6)])
        self.assertThat(self.serving(), matchers.Contains("i-1"))

    def test_a_target_that_returns_without_a_restore_is_used(self):
        self.directory.remove("i-1", 0.0, False)
        self.replace(1, 22, [self.entry("i-1", number=21)])
        self.assertEqual({"i-1"}, self.serving())

    def test_a_second_restore(self):
        self.remove_and_restore()
        listed = [self.entry("i-1", 3), self.entry("i-2", 3)]
        self.replace(3, 12, listed, 2_000.0)
        self.assertEqual({"i-2"}, self.serving())

    def test_a_reused_address_belongs_to_the_target_that_came_later(self):
        # The copy lists the earlier target, which has crashed, and lacks the
        # later one.
        later = samples.target(
            "i-9",
            "10.0.0.1",
            service="proof",
            revision=records.revision(1, 21),
            started_unix_ms=9,
        )
        self.directory.put(later)
        self.replace(2, 17, [self.entry("i-1", 2), self.entry("i-2", 2)])
        self.assertEqual(
            "i-9", self.directory.at_address("10.0.0.1", 80).target_id
        )

    def test_memory_of_removed_targets_is_bounded(self):
        for number in range(directory_lib.REMOVED_MAX + 10):
            self.directory.put(self.entry(f"i-{number}"))
            self.directory.remove(f"i-{number}", 0.0, False)
        self.replace(2, 17, [self.entry("i-1", 2)])
        self.assertThat(self.serving(), matchers.Contains("i-1"))
