import testtools
from testtools import matchers

from mimosahaven.mesh import refusals


class RefusedShareTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.refused = refusals.RefusedShare()

    def test_a_target_that_turns_half_of_its_work_away_stands_out(self):
        for number in range(40):
            self.refused.learn(number % 2 == 0, 0.0)
        self.assertThat(
            self.refused.value(0.0),
            matchers.GreaterThan(refusals.MANY_SHARE),
        )

    def test_a_rare_refusal_does_not_count(self):
        for number in range(200):
            self.refused.learn(number % 20 == 0, 0.0)
            self.assertThat(
                self.refused.value(0.0),
                matchers.LessThan(refusals.MANY_SHARE),
            )

    def test_it_fades_so_that_the_target_is_tried_again(self):
        for _ in range(100):
            self.refused.learn(True, 0.0)
        later_ms = 3 * refusals.HALF_LIFE_MS
        self.assertThat(
            self.refused.value(later_ms),
            matchers.LessThan(refusals.MANY_SHARE),
        )
