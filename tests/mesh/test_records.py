import testtools

from mimosahaven.mesh import records


class RevisionTest(testtools.TestCase):
    def test_a_later_epoch_has_higher_revisions(self):
        before = records.revision(1, records.REVISION_NUMBER_MAX)
        after = records.revision(2, 0)
        self.assertTrue(after > before)
        self.assertTrue(records.revision(2, 1) > after)

    def test_parts(self):
        for epoch, number in ((0, 7), (1, 0), (3, 12), (1 << 20, 1 << 30)):
            revision = records.revision(epoch, number)
            self.assertEqual(epoch, records.epoch_of(revision))
            self.assertEqual(number, records.number_of(revision))
        self.assertEqual(
            "2.17", records.describe_revision(records.revision(2, 17))
        )

    def test_the_highest_revision_fits_into_a_signed_integer_of_64_bits(self):
        highest = records.revision(
            records.EPOCH_MAX, records.REVISION_NUMBER_MAX
        )
        self.assertEqual((1 << 63) - 1, highest)
