"""Tests of mimosahaven.gctuning."""

import gc

import testtools
from testtools import matchers

from mimosahaven import gctuning


class TuneTest(testtools.TestCase):
    """Guards against full collections that pause calls for tens of ms."""

    def setUp(self):
        super().setUp()
        self.addCleanup(gc.set_threshold, *gc.get_threshold())
        self.addCleanup(gc.unfreeze)

    def test_startup_objects_are_frozen(self):
        gctuning.tune()
        self.assertThat(gc.get_freeze_count(), matchers.GreaterThan(0))

    def test_collections_stay_enabled(self):
        # Without collections, reference cycles would exhaust the memory.
        gctuning.tune()
        self.assertThat(gc.isenabled(), matchers.Is(True))
        self.assertThat(gc.get_threshold()[0], matchers.GreaterThan(0))
