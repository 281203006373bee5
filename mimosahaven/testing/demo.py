"""Demo: overload experiment on both deployments, with invariant checks."""

import asyncio
import signal
import sys

import rich.console
import rich.table

from mimosahaven import loadplan
from mimosahaven.testing import deployments
from mimosahaven.testing import experiment
from mimosahaven.testing import invariants
from mimosahaven.testing import runner as runner_lib

SEED = 1
SLOTS_FACTOR = 0.12
SERVICE_TIME_FACTOR = 2.0
DURATIONS = experiment.Durations(1.5, 1.5, 2.5, 1.5, 3.0)
RETRY_POLICY = loadplan.RetryPolicy(timeout_ms=1_500, resends=1)
MAX_VIOLATIONS_SHOWN = 5
CONSOLE_WIDTH = 110
COLUMNS = ("offered", "succeeded", "failed", "refused", "retried")


async def run_deployment(
    deployment: deployments.Deployment,
) -> experiment.Outcome:
    """Starts a deployment, runs the experiment and stops the deployment."""
    scaled_deployment = deployment.scaled(
        slots=SLOTS_FACTOR, service_time=SERVICE_TIME_FACTOR
    )
    async with runner_lib.Runner(scaled_deployment, seed=SEED) as runner:
        plan = experiment.make_plan(runner, DURATIONS, RETRY_POLICY, SEED)
        return await experiment.run_experiment(runner, plan)


def make_table(outcomes: dict[str, experiment.Outcome]) -> rich.table.Table:
    """Returns a table with the results of each kind of whole request."""
    table = rich.table.Table(title="Complete requests")
    table.add_column("deployment")
    table.add_column("caller/kind")
    for column in (*COLUMNS, "p50 ms", "p99 ms"):
        table.add_column(column, justify="right")
    for name, outcome in outcomes.items():
        for kind, counts in outcome.result["kinds"].items():
            latency = counts["latency"]
            table.add_row(
                name,
                kind,
                *(str(counts[column]) for column in COLUMNS),
                f"{latency['p50_ms']:.0f}",
                f"{latency['p99_ms']:.0f}",
            )
    return table


def find_failures(outcomes: dict[str, experiment.Outcome]) -> list[str]:
    """Returns violated invariants and kinds without a successful request."""
    failures = []
    for name, outcome in outcomes.items():
        for violation in outcome.violations[:MAX_VIOLATIONS_SHOWN]:
            failures.append(
                f"{name}: {violation.name}: {violation.action_id}: "
                f"{violation.detail}"
            )
        for kind, counts in outcome.result["kinds"].items():
            if not counts["succeeded"]:
                failures.append(f"{name}: no {kind} request succeeded")
    return failures


async def run() -> int:
    """Runs the demo and returns the exit code."""
    # Without a handler, SIGTERM would end the demo and leave its child
    # processes running.
    asyncio.get_running_loop().add_signal_handler(
        signal.SIGTERM, asyncio.current_task().cancel
    )
    console = rich.console.Console(width=CONSOLE_WIDTH)
    outcomes = {}
    for deployment in (deployments.SKOVGAARD, deployments.UMURAGE):
        console.print(f"{deployment.name}: surge, slow service, recovery")
        outcomes[deployment.name] = await run_deployment(deployment)
    console.print(make_table(outcomes))
    for invariant in invariants.NAMES:
        count = sum(
            invariants.count_violations(outcome.violations)[invariant]
            for outcome in outcomes.values()
        )
        console.print(f"{invariant}: {'holds' if not count else count}")
    failures = find_failures(outcomes)
    for failure in failures:
        console.print(f"[red]{failure}[/red]", highlight=False)
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(run()))
