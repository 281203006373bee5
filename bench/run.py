"""Benchmark that compares the full and the naive variant."""

import asyncio
import json
import pathlib
import signal
import statistics
import sys
import time

import click
import rich.console
import rich.table

from bench import addedtime
from mimosahaven import loadplan
from mimosahaven import loadreport
from mimosahaven.testing import deployments
from mimosahaven.testing import experiment
from mimosahaven.testing import invariants
from mimosahaven.testing import runner as runner_lib

DIRECTORY = pathlib.Path(__file__).parent
RESULTS = DIRECTORY / "results"
BOUNDS = DIRECTORY / "bounds.json"
DEPLOYMENTS = {d.name: d for d in (deployments.SKOVGAARD, deployments.UMURAGE)}
VARIANTS = ("full", "naive")
# Fewer slots with longer service times: three times the capacity, plus retries,
# stays well below the request rate that one load process and the machine reach.
SLOTS_FACTOR = 0.2
SERVICE_TIME_FACTOR = 6.0
DURATIONS = experiment.Durations(6.0, 5.0, 8.0, 5.0, 10.0)
RETRY_POLICY = loadplan.RetryPolicy(timeout_ms=1_500, resends=2)
CONSOLE_WIDTH = 120


def compute_metrics(
    outcome: experiment.Outcome, deployment: deployments.Deployment
) -> dict:
    """Returns the metrics for which goals are defined, and related values."""
    phases = outcome.result["phases"]
    baseline, surge = phases[experiment.BASELINE], phases[experiment.SURGE]
    slow = phases[experiment.SLOW]
    capacity_per_s = deployment.capacity_per_s()
    return {
        "capacity_per_s": capacity_per_s,
        "important_goodput_share": surge["important_success_share"]
        / max(baseline["important_success_share"], 1e-9),
        "total_goodput_of_capacity": surge["completed_per_s"] / capacity_per_s,
        "slow_goodput_of_capacity": slow["completed_per_s"]
        * experiment.SLOW_FACTOR
        / capacity_per_s,
        "slow_important_share": slow["important_success_share"],
        "recovery_s": outcome.result["recovery_s"],
        "sends_per_request": surge["sends"] / surge["offered"],
        "generator_lag_p99_ms": outcome.result["generator_lag"]["p99_ms"],
        "violations": invariants.count_violations(outcome.violations),
    }


async def run_variant(
    deployment: deployments.Deployment, variant: str, seed: int
) -> experiment.Outcome:
    """Runs one experiment on newly started processes."""
    async with runner_lib.Runner(deployment, variant, seed) as runner:
        plan = experiment.make_plan(runner, DURATIONS, RETRY_POLICY, seed)
        return await experiment.run_experiment(runner, plan)


async def run_overload(names: list[str], seeds: list[int], report: bool):
    """Runs the overload experiments and returns one measurement of each."""
    measurements = []
    for name in names:
        deployment = DEPLOYMENTS[name].scaled(
            slots=SLOTS_FACTOR, service_time=SERVICE_TIME_FACTOR
        )
        for seed in seeds:
            results = {}
            # The variants alternate, so that other load on the machine
            # affects both equally.
            for variant in VARIANTS:
                outcome = await run_variant(deployment, variant, seed)
                results[f"{name}, {variant}, seed {seed}"] = outcome.result
                measurement = {
                    "deployment": name,
                    "variant": variant,
                    "seed": seed,
                }
                measurement |= compute_metrics(outcome, deployment)
                print(json.dumps(measurement), file=sys.stderr)
                phases = outcome.result["phases"]
                codes = outcome.result["codes"]
                measurements.append(
                    measurement | {"phases": phases, "codes": codes}
                )
            if report:
                loadreport.write_report(results, RESULTS / f"{name}-{seed}")
    return measurements


def median_over_seeds(measurements: list[dict], key: str) -> float | None:
    """Returns the median over all seeds; None counts as infinity."""
    values = [float("inf") if m[key] is None else m[key] for m in measurements]
    return statistics.median(values)


def check_bounds(
    measurements: list[dict], added_times: list[dict]
) -> list[str]:
    """Returns the bounds that the full variant violates."""
    bounds = json.loads(BOUNDS.read_text(encoding="utf-8"))
    failures = []

    def at_least(subject: str, value: float, key: str) -> None:
        if value < bounds[key]:
            failures.append(f"{subject} {value:.3f} < {bounds[key]} ({key})")

    def at_most(subject: str, value: float, key: str) -> None:
        if value > bounds[key]:
            failures.append(f"{subject} {value:.3f} > {bounds[key]} ({key})")

    for name in sorted({m["deployment"] for m in measurements}):
        full_measurements = [
            m
            for m in measurements
            if m["deployment"] == name and m["variant"] == "full"
        ]
        for key in ("important_goodput_share", "total_goodput_of_capacity"):
            at_least(
                name, median_over_seeds(full_measurements, key), f"{key}_min"
            )
        at_most(
            name,
            median_over_seeds(full_measurements, "recovery_s"),
            "recovery_s_max",
        )
        violations = sum(
            sum(m["violations"].values()) for m in full_measurements
        )
        at_most(name, violations, "violations_max")
    if added_times:
        p99_ms = statistics.median(m["added"]["p99_ms"] for m in added_times)
        at_most("added time", p99_ms, "added_p99_ms_max")
    return failures


def make_table(measurements: list[dict]) -> rich.table.Table:
    """Returns a table with one line for each measurement."""
    table = rich.table.Table(title="Surge 3x, then slow deepest service")
    columns = {
        "important_goodput_share": "important goodput",
        "total_goodput_of_capacity": "goodput of capacity",
        "slow_goodput_of_capacity": "goodput, slow",
        "recovery_s": "recovery s",
        "sends_per_request": "sends/request",
    }
    for column in ("deployment", "variant", "seed", *columns.values()):
        table.add_column(column)
    table.add_column("violations")
    for measurement in measurements:
        cells = [
            measurement["deployment"],
            measurement["variant"],
            str(measurement["seed"]),
        ]
        for key in columns:
            value = measurement[key]
            cells.append("never" if value is None else f"{value:.2f}")
        cells.append(str(sum(measurement["violations"].values())))
        table.add_row(*cells)
    return table


def write_result(name: str, measurements: list[dict]) -> None:
    """Writes measurements to a file in the results directory."""
    RESULTS.mkdir(exist_ok=True)
    text = json.dumps(
        {"time": time.strftime("%F %T"), "runs": measurements}, indent=1
    )
    (RESULTS / f"{name}.json").write_text(text + "\n", encoding="utf-8")


async def run(names: list[str], seeds: list[int], report: bool) -> int:
    """Runs all benchmarks and returns the exit code."""
    asyncio.get_running_loop().add_signal_handler(
        signal.SIGTERM, asyncio.current_task().cancel
    )
    console = rich.console.Console(width=CONSOLE_WIDTH)
    added_times = [await addedtime.measure(seed) for seed in seeds]
    write_result("added_time", added_times)
    for measurement in added_times:
        console.print(
            f"added latency in ms: {measurement['added']}, "
            f"noise: {measurement['noise']}"
        )
    measurements = await run_overload(names, seeds, report)
    if measurements:
        write_result("overload", measurements)
        console.print(make_table(measurements))
    failures = check_bounds(measurements, added_times)
    for failure in failures:
        console.print(f"bound violated: {failure}", highlight=False)
    return 1 if failures else 0


@click.command()
@click.option(
    "--deployment",
    "names",
    multiple=True,
    type=click.Choice([*DEPLOYMENTS, "none"]),
    default=tuple(DEPLOYMENTS),
)
@click.option("--seed", "seeds", multiple=True, type=int, default=(1, 2, 3))
@click.option("--report", is_flag=True, help="Write reports with plots.")
def main(names: tuple[str, ...], seeds: tuple[int, ...], report: bool) -> None:
    """Runs the benchmarks; the exit code is 1 if a bound is violated."""
    selected = [name for name in names if name in DEPLOYMENTS]
    sys.exit(asyncio.run(run(selected, list(seeds), report)))


if __name__ == "__main__":
    main()
