import collections

import testtools
from testtools import matchers

from mimosahaven.mesh import records
from mimosahaven.mesh import routing
from tests.mesh import samples


class RouteIndexTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.index = routing.RouteIndex(
            samples.table(
                samples.route("all", prefix="/"),
                samples.route("one", prefix="/x/"),
                samples.route("deep", prefix="/x/y/"),
                samples.route("other", host="b.example"),
            )
        )

    def name(self, host, path):
        route = self.index.match(host, path)
        return route.name if route else None

    def test_the_longest_prefix_wins(self):
        self.assertEqual("deep", self.name("a.example", "/x/y/z"))
        self.assertEqual("one", self.name("a.example", "/x/yz"))
        self.assertEqual("all", self.name("a.example", "/xy"))

    def test_host_is_compared_without_port_and_case(self):
        self.assertEqual("other", self.name("B.example:8080", "/x/1"))

    def test_a_slash_in_the_query_is_no_part_of_the_path(self):
        self.assertEqual("one", self.name("a.example", "/x/?q=/x/y/z"))

    def test_unknown_host_or_path_has_no_route(self):
        self.assertIsNone(self.name("c.example", "/x/"))
        self.assertIsNone(self.name("b.example", "/y/"))

    def test_shares_are_kept_over_a_few_requests(self):
        shares = (records.Share("a", 90), records.Share("b", 10))
        route = samples.route(shares=shares)
        index = routing.RouteIndex(samples.table(route))
        dealt = collections.Counter(
            index.choose_service(route) for _ in range(20)
        )
        self.assertThat(dealt, matchers.Equals({"a": 18, "b": 2}))
