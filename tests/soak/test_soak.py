"""A short soak with a fixed seed, and soaks with seeds that once failed."""

import pathlib
import tempfile

import testtools

from tests.soak import checks
from tests.soak import run

VMS = 6
FAULTS_S = 8.0
FAULT_FREE_S = 2.0
# Seeds that once failed, each with its focus and the cause of the failure.
REGRESSION_SEEDS: dict[int, tuple[tuple[str, ...], str]] = {
    91011: (
        ("store_cut",),
        "both fleet watchers did not notice that they had lost the store",
    ),
}


class SoakTest(testtools.TestCase):
    def run_soak(self, seed, focus=()):
        with tempfile.TemporaryDirectory(prefix="mimosahaven-") as name:
            observations = run.run_seed(
                seed, VMS, FAULTS_S, FAULT_FREE_S, pathlib.Path(name), focus
            )
        self.assertEqual(
            [], checks.check(observations), run.summarize(observations)
        )

    def test_a_short_soak(self):
        self.run_soak(1)

    def test_a_short_soak_of_rate_limits_and_restores(self):
        self.run_soak(2, ("limit_target", "replace_target", "store_restored"))

    def test_a_short_soak_of_cut_stores_and_odd_entries(self):
        self.run_soak(3, ("store_cut", "odd_entry", "table"))

    def test_a_short_soak_of_power_losses(self):
        self.run_soak(4, ("power_loss",))

    def test_regression_seeds(self):
        for seed, (focus, _) in REGRESSION_SEEDS.items():
            self.run_soak(seed, focus)
