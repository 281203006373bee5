"""A short soak of a fixed seed, and the seeds that have failed."""

import pathlib
import tempfile

import testtools

from tests.soak import checks
from tests.soak import run

VMS = 6
FAULTS_S = 8.0
CALM_S = 2.0
# Seeds that have failed, with what was the matter.
FAILED_SEEDS: dict[int, str] = {}


class SoakTest(testtools.TestCase):
    def play(self, seed):
        with tempfile.TemporaryDirectory(prefix="mimosahaven-") as name:
            seen = run.play(seed, VMS, FAULTS_S, CALM_S, pathlib.Path(name))
        self.assertEqual([], checks.check(seen), run.summary(seen))

    def test_a_short_soak(self):
        self.play(1)

    def test_seeds_that_have_failed(self):
        for seed in FAILED_SEEDS:
            self.play(seed)
