"""Each check of the soak reports observations that violate its guarantee."""

import testtools

from tests.soak import checks
from tests.soak import observations as observations_lib
from tests.soak import workload


def make_attempt(attempt_id="a1", kind="order", status=200, **changes):
    values = {
        "vm": 0,
        "sent_s": 100.0,
        "incarnation": 1,
        "connection_reused": False,
        "complete": True,
        "ended_s": 100.5,
    }
    return observations_lib.CallerAttempt(
        attempt_id, kind, status=status, **(values | changes)
    )


def make_run(
    attempt_id="a1", target_id="i-1-1", started_s=100.1, kind="order", **changes
):
    values = {
        "service": workload.KINDS[kind].service,
        "method": workload.KINDS[kind].method,
        "path": "/x",
        "body": workload.KINDS[kind].body(attempt_id),
        "caller": workload.service_of(0),
    }
    return observations_lib.Run(
        attempt_id, target_id, started_s=started_s, **(values | changes)
    )


def violated_rules(**fields):
    observations = observations_lib.Observations(
        **{"ended_s": 200.0, "faults_ended_s": 190.0} | fields
    )
    return [violation.rule for violation in checks.check(observations)]


class ChecksTest(testtools.TestCase):
    def test_a_correct_request_violates_nothing(self):
        self.assertEqual(
            [], violated_rules(attempts=[make_attempt()], runs=[make_run()])
        )

    def test_a_second_run_of_an_at_most_once_request(self):
        runs = [make_run(), make_run(target_id="i-4-1")]
        self.assertEqual(
            ["TWICE"], violated_rules(attempts=[make_attempt()], runs=runs)
        )

    def test_a_refusal_of_a_request_that_ran(self):
        found = violated_rules(
            attempts=[make_attempt(status=503)], runs=[make_run()]
        )
        self.assertEqual(["REFUSED"], found)

    def test_a_success_with_an_incomplete_body(self):
        found = violated_rules(
            attempts=[make_attempt(complete=False)], runs=[make_run()]
        )
        self.assertEqual(["MIXED"], found)

    def test_a_run_without_a_request(self):
        self.assertEqual(["UNASKED"], violated_rules(runs=[make_run()]))

    def test_a_changed_body_or_caller(self):
        for changes in ({"body": b"x"}, {"caller": "forged"}):
            found = violated_rules(
                attempts=[make_attempt()], runs=[make_run(**changes)]
            )
            self.assertEqual(["UNASKED"], found)

    def test_a_run_by_another_service(self):
        found = violated_rules(
            attempts=[make_attempt()], runs=[make_run(service="presse")]
        )
        self.assertEqual(["ROUTE"], found)

    def test_more_targets_than_allowed(self):
        runs = [make_run(kind="read", target_id=f"i-{n}") for n in range(3)]
        found = violated_rules(attempts=[make_attempt(kind="read")], runs=runs)
        self.assertEqual(["BUDGET"], found)

    def test_a_run_at_a_drained_target(self):
        drain_starts = [observations_lib.DrainStart("i-1-1", 97.0)]
        found = violated_rules(
            attempts=[make_attempt()],
            runs=[make_run()],
            drain_starts=drain_starts,
        )
        self.assertEqual(["DRAIN"], found)

    def test_a_late_or_reverted_table(self):
        def probe(status, sent_s):
            return make_attempt(
                "p0-2-1",
                workload.PROBE_KIND,
                status,
                sent_s=sent_s,
                ended_s=sent_s + 0.01,
            )

        tables = [(10.0, 1), (100.0, 2)]
        self.assertEqual(
            [], violated_rules(attempts=[probe(404, 101.0)], tables=tables)
        )
        late = violated_rules(attempts=[probe(404, 102.5)], tables=tables)
        self.assertEqual(["CONFIG"], late)
        reverted = [probe(200, 100.5), probe(404, 101.0)]
        runs = [make_run("p0-2-1", kind=workload.PROBE_KIND)]
        found = violated_rules(attempts=reverted, runs=runs, tables=tables)
        self.assertEqual(["CONFIG"], found)

    def test_a_request_still_in_progress_at_the_end_of_the_soak(self):
        # Seen once, with seed 1 on a loaded machine. The soak ends all
        # processes, and a planned stop may have begun shortly before.
        stop = observations_lib.Disruption("term", 0, True, 99.0, 105.0)
        pending = make_attempt(status=None, complete=False, ended_s=0.0)
        found = violated_rules(attempts=[pending], disruptions=[stop])
        self.assertEqual([], found)

    def test_a_pipelined_request_interrupted_by_a_planned_stop(self):
        stop = observations_lib.Disruption("term", 0, True, 99.0, 105.0)
        interrupted = make_attempt(kind="read", status=None, pipelined=True)
        for runs, rules in ([], []), ([make_run(kind="read")], ["LOST"]):
            found = violated_rules(
                attempts=[interrupted], runs=runs, disruptions=[stop]
            )
            self.assertEqual(rules, found)

    def test_a_request_interrupted_by_a_planned_stop(self):
        stop = observations_lib.Disruption("term", 0, True, 99.0, 105.0)
        interrupted = make_attempt(status=None)
        found = violated_rules(
            attempts=[interrupted], runs=[make_run()], disruptions=[stop]
        )
        self.assertEqual(["LOST"], found)
        kill = observations_lib.Disruption("kill", 0, False, 99.5, 100.5)
        found = violated_rules(
            attempts=[interrupted], runs=[make_run()], disruptions=[stop, kill]
        )
        self.assertEqual([], found)

    def test_more_retries_than_the_budget(self):
        attempts = [make_attempt(f"a{n}", "read") for n in range(60)]
        runs = [
            make_run(f"a{n}", f"i-{m}", kind="read")
            for n in range(60)
            for m in range(2)
        ]
        self.assertEqual(
            ["BUDGET"], violated_rules(attempts=attempts, runs=runs)
        )

    def test_traffic_that_does_not_recover(self):
        attempts = [
            make_attempt(f"a{n}", "read", 503, sent_s=60.0, ended_s=60.1)
            for n in range(9)
        ]
        self.assertEqual(
            ["RECOVER"], violated_rules(attempts=attempts, faults_ended_s=40.0)
        )

    def test_a_request_to_a_target_that_has_announced_that_it_leaves(self):
        announcement = observations_lib.Announcement(
            0, "i-1-1", 97.0, limited=False, leaving=True
        )
        arrival = observations_lib.Arrival("a1", "i-1-1", 100.1)
        fields = {
            "attempts": [make_attempt()],
            "runs": [make_run()],
            "announcements": [announcement],
            "arrivals": [arrival],
        }
        self.assertEqual(["DRAIN"], violated_rules(**fields))
        for excused in (
            {"attempts": [make_attempt(sent_s=98.9)]},
            {"arrivals": [observations_lib.Arrival("a1", "i-2-1", 100.1)]},
            {
                "disruptions": [
                    observations_lib.Disruption("kill", 0, False, 98.0, 98.5)
                ]
            },
        ):
            self.assertEqual([], violated_rules(**fields | excused))

    def test_more_requests_than_an_announced_rate_limit(self):
        # 6 in any 4 s are allowed for each request per second, and 5 more.
        arrivals = [
            observations_lib.Arrival(f"a{n}", "i-1-1", 100.0 + n / 10)
            for n in range(12)
        ]
        fields = {
            "attempts": [make_attempt(f"a{n}") for n in range(12)],
            "runs": [make_run(f"a{n}") for n in range(12)],
            "rate_limits": [observations_lib.RateLimit("i-1-1", 1.0, 96.0)],
            "announcements": [
                observations_lib.Announcement(
                    0, "i-1-1", 97.0, limited=True, leaving=False
                )
            ],
            "arrivals": arrivals,
        }
        self.assertEqual(["LIMIT"], violated_rules(**fields))
        for excused in (
            {"arrivals": arrivals[:11]},
            {"announcements": []},
            {"rate_limits": [observations_lib.RateLimit("i-1-1", 1.0, 98.0)]},
            {
                "disruptions": [
                    observations_lib.Disruption("kill", 0, False, 98.0, 98.5)
                ]
            },
        ):
            self.assertEqual([], violated_rules(**fields | excused))

    def test_nested_calls_begin_at_the_vm_of_the_target_that_makes_them(self):
        self.assertEqual(2, workload.origin_vm("c0.1-3.i-2-1-7", {}))
        self.assertEqual(0, workload.origin_vm("c0.1-3", {"c0.1-3": 0}))
        nested_twice = "c0.1-3.i-2-1-7.i-5-1-2"
        self.assertEqual(5, workload.origin_vm(nested_twice, {}))
