"""Each check of the soak fails on a sight that breaks its promise."""

import testtools

from tests.soak import checks
from tests.soak import seen as seen_lib
from tests.soak import world


def ask(attempt="a1", kind="order", status=200, **changes):
    values = {
        "vm": 0,
        "sent_s": 100.0,
        "incarnation": 1,
        "kept": False,
        "whole": True,
        "ended_s": 100.5,
    }
    return seen_lib.Ask(attempt, kind, status=status, **(values | changes))


def run(attempt="a1", target_id="i-1-1", at_s=100.1, kind="order", **changes):
    values = {
        "service": world.KINDS[kind].service,
        "method": world.KINDS[kind].method,
        "path": "/x",
        "body": world.KINDS[kind].body(attempt),
        "caller": world.service_of(0),
    }
    return seen_lib.Run(attempt, target_id, at_s=at_s, **(values | changes))


def rules(**parts):
    seen = seen_lib.Seen(**{"ended_s": 200.0, "calm_since_s": 190.0} | parts)
    return [violation.rule for violation in checks.check(seen)]


class ChecksTest(testtools.TestCase):
    def test_a_sound_request_breaks_nothing(self):
        self.assertEqual([], rules(asks=[ask()], runs=[run()]))

    def test_a_second_run_of_what_may_run_once(self):
        twice = [run(), run(target_id="i-4-1")]
        self.assertEqual(["TWICE"], rules(asks=[ask()], runs=twice))

    def test_a_refusal_of_what_has_run(self):
        found = rules(asks=[ask(status=503)], runs=[run()])
        self.assertEqual(["REFUSED"], found)

    def test_a_success_with_a_part_of_the_body(self):
        found = rules(asks=[ask(whole=False)], runs=[run()])
        self.assertEqual(["MIXED"], found)

    def test_a_run_that_nobody_asked_for(self):
        self.assertEqual(["UNASKED"], rules(runs=[run()]))

    def test_a_changed_body_or_caller(self):
        for changes in ({"body": b"x"}, {"caller": "forged"}):
            found = rules(asks=[ask()], runs=[run(**changes)])
            self.assertEqual(["UNASKED"], found)

    def test_a_run_by_another_service(self):
        found = rules(asks=[ask()], runs=[run(service="presse")])
        self.assertEqual(["ROUTE"], found)

    def test_more_targets_than_allowed(self):
        runs = [run(kind="read", target_id=f"i-{n}") for n in range(3)]
        found = rules(asks=[ask(kind="read")], runs=runs)
        self.assertEqual(["BUDGET"], found)

    def test_work_for_a_target_that_has_left(self):
        left = [seen_lib.Leaving("i-1-1", 97.0)]
        found = rules(asks=[ask()], runs=[run()], leavings=left)
        self.assertEqual(["DRAIN"], found)

    def test_a_table_that_is_late_or_goes_back(self):
        def probe(status, sent_s):
            return ask(
                "p0-2-1",
                world.PROBE_KIND,
                status,
                sent_s=sent_s,
                ended_s=sent_s + 0.01,
            )

        tables = [(10.0, 1), (100.0, 2)]
        self.assertEqual([], rules(asks=[probe(404, 101.0)], tables=tables))
        late = rules(asks=[probe(404, 102.5)], tables=tables)
        self.assertEqual(["CONFIG"], late)
        back = [probe(200, 100.5), probe(404, 101.0)]
        runs = [run("p0-2-1", kind=world.PROBE_KIND)]
        found = rules(asks=back, runs=runs, tables=tables)
        self.assertEqual(["CONFIG"], found)

    def test_a_request_that_a_planned_stop_breaks_off(self):
        stop = seen_lib.Disturbance("term", 0, True, 99.0, 105.0)
        broken = ask(status=None)
        found = rules(asks=[broken], runs=[run()], disturbances=[stop])
        self.assertEqual(["LOST"], found)
        kill = seen_lib.Disturbance("kill", 0, False, 99.5, 100.5)
        found = rules(asks=[broken], runs=[run()], disturbances=[stop, kill])
        self.assertEqual([], found)

    def test_more_repeats_than_the_budget(self):
        asks = [ask(f"a{n}", "read") for n in range(60)]
        runs = [
            run(f"a{n}", f"i-{m}", kind="read")
            for n in range(60)
            for m in range(2)
        ]
        self.assertEqual(["BUDGET"], rules(asks=asks, runs=runs))

    def test_traffic_that_does_not_come_back(self):
        asks = [
            ask(f"a{n}", "read", 503, sent_s=60.0, ended_s=60.1)
            for n in range(9)
        ]
        self.assertEqual(["RECOVER"], rules(asks=asks, calm_since_s=40.0))
