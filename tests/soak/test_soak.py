"""A short soak of a fixed seed, and the seeds that have failed."""

import pathlib
import tempfile

import testtools

from tests.soak import checks
from tests.soak import run

VMS = 6
FAULTS_S = 8.0
FAULT_FREE_S = 2.0
# Seeds that have failed, with what was the matter.
REGRESSION_SEEDS: dict[int, str] = {}


class SoakTest(testtools.TestCase):
    def run_soak(self, seed):
        with tempfile.TemporaryDirectory(prefix="mimosahaven-") as name:
            observations = run.run_seed(
                seed, VMS, FAULTS_S, FAULT_FREE_S, pathlib.Path(name)
            )
        self.assertEqual(
            [], checks.check(observations), run.summarize(observations)
        )

    def test_a_short_soak(self):
        self.run_soak(1)

    def test_seeds_that_have_failed(self):
        for seed in REGRESSION_SEEDS:
            self.run_soak(seed)
