import testtools

from mimosahaven.mesh import calltreecosts


class CallTreeCostsTest(testtools.TestCase):
    def test_unknown_route_costs_one_run(self):
        costs = calltreecosts.CallTreeCosts()
        self.assertEqual({"katalog": 1.0}, costs.expected_runs("r", "katalog"))

    def test_nested_services_are_added_and_removed(self):
        costs = calltreecosts.CallTreeCosts()
        costs.record("r", "katalog", {"katalog": 1.0, "presse": 4.0})
        self.assertEqual(4.0, costs.expected_runs("r", "katalog")["presse"])
        for _ in range(300):
            costs.record("r", "katalog", {"katalog": 1.0})
        self.assertEqual({"katalog"}, set(costs.expected_runs("r", "katalog")))
