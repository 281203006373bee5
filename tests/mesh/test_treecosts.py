import testtools

from mimosahaven.mesh import treecosts


class TreeCostsTest(testtools.TestCase):
    def test_an_unknown_route_costs_one_run(self):
        costs = treecosts.TreeCosts()
        self.assertEqual({"katalog": 1.0}, costs.runs("r", "katalog"))

    def test_calls_below_are_learnt_and_forgotten(self):
        costs = treecosts.TreeCosts()
        costs.learn("r", "katalog", {"katalog": 1.0, "presse": 4.0})
        self.assertEqual(4.0, costs.runs("r", "katalog")["presse"])
        for _ in range(300):
            costs.learn("r", "katalog", {"katalog": 1.0})
        self.assertEqual({"katalog"}, set(costs.runs("r", "katalog")))
