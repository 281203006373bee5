import collections

import hypothesis
import testtools
from hypothesis import strategies
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

    def test_longest_prefix_wins(self):
        self.assertEqual("deep", self.name("a.example", "/x/y/z"))
        self.assertEqual("one", self.name("a.example", "/x/yz"))
        self.assertEqual("all", self.name("a.example", "/xy"))

    def test_host_is_compared_without_port_and_case(self):
        self.assertEqual("other", self.name("B.example:8080", "/x/1"))

    def test_slash_in_the_query_is_not_part_of_the_path(self):
        self.assertEqual("one", self.name("a.example", "/x/?q=/x/y/z"))

    def test_unknown_host_or_path_has_no_route(self):
        self.assertIsNone(self.name("c.example", "/x/"))
        self.assertIsNone(self.name("b.example", "/y/"))

    def test_weights_are_kept_over_a_few_requests(self):
        shares = (records.Share("a", 90), records.Share("b", 10))
        route = samples.route(shares=shares)
        index = routing.RouteIndex(samples.table(route))
        chosen = collections.Counter(
            index.choose_service(route) for _ in range(20)
        )
        self.assertThat(chosen, matchers.Equals({"a": 18, "b": 2}))


_SEGMENT = strategies.sampled_from(["a", "ab", "b"])
_PREFIXES = strategies.lists(_SEGMENT, max_size=3).map(
    lambda segments: "/" + "".join(f"{segment}/" for segment in segments)
)


class RoutePropertyTest(testtools.TestCase):
    @hypothesis.settings(database=None, derandomize=True, deadline=None)
    @hypothesis.given(
        prefixes=strategies.sets(_PREFIXES, max_size=6),
        path=_PREFIXES,
        rest=strategies.sampled_from(["", "a", "ab", "x?y=/a/"]),
    )
    def test_the_match_is_the_longest_of_all_that_begin_the_path(
        self, prefixes, path, rest
    ):
        index = routing.RouteIndex(
            samples.table(*(samples.route(p, prefix=p) for p in prefixes))
        )
        requested = path + rest
        matching = [
            p for p in prefixes if requested.split("?")[0].startswith(p)
        ]
        found = index.match("a.example", requested)
        self.assertEqual(
            max(matching, key=len, default=None), found and found.name
        )

    @hypothesis.settings(database=None, derandomize=True, deadline=None)
    @hypothesis.given(
        weights=strategies.lists(
            strategies.integers(1, 20), min_size=1, max_size=5
        ),
        count=strategies.integers(1, 200),
    )
    def test_shares_are_kept_to_less_than_two_requests(self, weights, count):
        shares = tuple(
            records.Share(f"s{number}", float(weight))
            for number, weight in enumerate(weights)
        )
        route = samples.route(shares=shares)
        index = routing.RouteIndex(samples.table(route))
        chosen = collections.Counter(
            index.choose_service(route) for _ in range(count)
        )
        for share in shares:
            fair = count * share.weight / sum(weights)
            self.assertThat(
                abs(chosen[share.service] - fair), matchers.LessThan(2)
            )
