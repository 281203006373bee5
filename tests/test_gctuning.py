"""Tests of the settings of the garbage collector."""

import gc

import testtools
from testtools import matchers

from mimosahaven import gctuning


class TuneTest(testtools.TestCase):
    """Guards against full collections of tens of ms during calls."""

    def setUp(self):
        super().setUp()
        self.addCleanup(gc.set_threshold, *gc.get_threshold())
        self.addCleanup(gc.unfreeze)

    def test_objects_of_the_start_are_spared(self):
        gctuning.tune()
        self.assertThat(gc.get_freeze_count(), matchers.GreaterThan(0))

    def test_collections_stay_enabled(self):
        # Cycles would otherwise fill the memory of a daemon.
        gctuning.tune()
        self.assertThat(gc.isenabled(), matchers.Is(True))
        self.assertThat(gc.get_threshold()[0], matchers.GreaterThan(0))
