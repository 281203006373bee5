"""Tests of mimosahaven.fleetstatus."""

import testtools
from testtools import matchers

from mimosahaven import fleetstatus
from mimosahaven import status
from tests import fakedaemons

TargetState = status.TargetState


class SummarizeTest(testtools.TestCase):
    def test_views_differ_by_failure_domain(self):
        # In a partition the summary must show the view of each side.
        summary = fleetstatus.summarize(
            [
                fakedaemons.make_status(
                    "a", "z1", targets=[fakedaemons.make_target_status("t")]
                ),
                fakedaemons.make_status(
                    "b", "z1", targets=[fakedaemons.make_target_status("t")]
                ),
                fakedaemons.make_status(
                    "c",
                    "z2",
                    targets=[fakedaemons.make_target_status("t", "suspect")],
                ),
            ]
        )
        self.assertThat(
            summary.services,
            matchers.Equals(
                [
                    fleetstatus.ServiceView("presse", "z1", 1, 0, 0),
                    fleetstatus.ServiceView("presse", "z2", 0, 0, 1),
                ]
            ),
        )
        self.assertThat(
            summary.troubled,
            matchers.Equals(
                [
                    fleetstatus.UnavailableTarget(
                        "t", "presse", "z2", TargetState.SUSPECT, 1, 1
                    )
                ]
            ),
        )

    def test_target_suspected_by_a_minority_is_listed_but_counts_as_live(self):
        views = [
            fakedaemons.make_target_status("t", s)
            for s in ("live", "live", "suspect")
        ]
        summary = fleetstatus.summarize(
            [fakedaemons.make_status(str(v), targets=[v]) for v in views]
        )
        self.assertThat(summary.services[0].live, matchers.Equals(1))
        self.assertThat(summary.troubled[0].daemons, matchers.Equals(1))
        self.assertThat(summary.troubled[0].asked, matchers.Equals(3))

    def test_is_consistent(self):
        same = [fakedaemons.make_status("a"), fakedaemons.make_status("b")]
        self.assertTrue(fleetstatus.summarize(same).is_consistent)
        for table in (
            status.TableStatus(4, "abd"),
            status.TableStatus(3, "abd"),
            status.TableStatus(),
            status.TableStatus(3, "abc", fault_code=5004, fault_text="x"),
        ):
            other = fakedaemons.make_status("c", table=table)
            self.assertFalse(
                fleetstatus.summarize([*same, other]).is_consistent
            )
        without_table = fakedaemons.make_status("c", table=status.TableStatus())
        self.assertFalse(fleetstatus.summarize([without_table]).is_consistent)

    def test_counts_are_summed(self):
        summary = fleetstatus.summarize(
            [
                fakedaemons.make_status(
                    name,
                    rows=[status.RowStatus("c/k", 9, 6, {"ROW_LIMIT": 3}, 2)],
                    quarantine=[
                        status.QuarantineStatus("f", 2, quarantined, 7.0)
                    ],
                    retries=status.RetryStatus(10, 2, 1),
                )
                for name, quarantined in (("a", True), ("b", False))
            ]
        )
        self.assertThat(
            summary.rows,
            matchers.Equals(
                [status.RowStatus("c/k", 18, 12, {"ROW_LIMIT": 6}, 4)]
            ),
        )
        self.assertThat(
            summary.quarantine,
            matchers.Equals(
                [fleetstatus.QuarantinedFingerprint("f", 2, 1, 1, 7.0)]
            ),
        )
        self.assertThat(
            summary.retries, matchers.Equals(status.RetryStatus(20, 4, 2))
        )
