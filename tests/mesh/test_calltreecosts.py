import testtools

from mimosahaven.mesh import calltreecosts


class CallTreeCostsTest(testtools.TestCase):
    def test_unknown_route_costs_one_run(self):
        costs = calltreecosts.CallTreeCosts()
        self.assertEqual({"katalog": 1.0}, costs.expected_runs("r", "katalog"))

    def test_nested_services_are_added_and_removed(self):
        costs = calltreecosts.CallTreeCosts()
        costs.record("r", "katalog", {"katalog": 1.0, "presse": 4.0}, {})
        self.assertEqual(4.0, costs.expected_runs("r", "katalog")["presse"])
        for _ in range(300):
            costs.record("r", "katalog", {"katalog": 1.0}, {})
        self.assertEqual({"katalog"}, set(costs.expected_runs("r", "katalog")))

    def test_slot_time_follows_the_responses(self):
        costs = calltreecosts.CallTreeCosts()
        self.assertIsNone(costs.expected_slot_ms("r", "katalog", "presse"))
        tree, slot_ms = {"katalog": 1.0, "presse": 4.0}, {"presse": 160.0}
        costs.record("r", "katalog", tree, slot_ms)
        for _ in range(100):
            costs.record("r", "katalog", tree, {"presse": 320.0})
        expected_ms = costs.expected_slot_ms("r", "katalog", "presse")
        self.assertAlmostEqual(320.0, expected_ms, delta=10.0)
