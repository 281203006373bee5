"""Randomized soak of real daemon processes with injected faults."""

import asyncio
import collections
import pathlib
import tempfile
from collections.abc import Sequence

import click

from tests.soak import checks
from tests.soak import faults
from tests.soak import harness as harness_lib
from tests.soak import observations as observations_lib

# Exceeds the time within which traffic must recover.
FAULT_FREE_S = checks.RECOVER_S + 4.0


def run_seed(
    seed: int,
    vms: int,
    seconds: float,
    fault_free_s: float,
    directory: pathlib.Path,
    focus: Sequence[str] = (),
) -> observations_lib.Observations:
    """Runs the soak with one seed and returns the observations.

    Args:
      seed: Seed of all random choices.
      vms: Number of VMs.
      seconds: Time in which faults begin.
      fault_free_s: Time without faults after it.
      directory: Directory for settings and logs.
      focus: Names of faults that make up half of all.
    """

    async def run_soak() -> observations_lib.Observations:
        harness = harness_lib.Harness(vms, seed, directory)
        try:
            await harness.start()
            await faults.run_faults(harness, seconds, focus)
            await asyncio.sleep(fault_free_s)
        finally:
            await harness.stop()
        return harness.observations

    return asyncio.run(run_soak())


def summarize(observations: observations_lib.Observations) -> str:
    """Returns a one-line summary of the observations."""
    statuses = collections.Counter(
        str(attempt.status) for attempt in observations.attempts
    )
    return (
        f"{len(observations.attempts)} requests "
        f"({', '.join(f'{k}: {n}' for k, n in statuses.most_common(6))}), "
        f"{len(observations.runs)} runs, "
        f"{len(observations.disruptions)} faults, "
        f"{len(observations.tables)} tables, {len(observations.stalls)} stalls"
    )


@click.command()
@click.option("--seed", "seeds", multiple=True, type=int, default=(1,))
@click.option("--first", type=int, help="First of several seeds.")
@click.option("--count", type=int, default=1, help="Number of seeds.")
@click.option("--vms", type=click.IntRange(3, 200), default=9)
@click.option(
    "--seconds", type=float, default=20.0, help="Seconds with faults."
)
@click.option(
    "--calm",
    type=float,
    default=FAULT_FREE_S,
    help="Seconds without faults after them.",
)
@click.option(
    "--focus",
    multiple=True,
    type=click.Choice(sorted(faults.FAULTS)),
    help="Fault that is injected more often.",
)
@click.option("--keep", type=click.Path(path_type=pathlib.Path))
def main(seeds, first, count, vms, seconds, calm, focus, keep):
    """Runs the soak with each seed; exits with 1 on any violation."""
    if first is not None:
        seeds = range(first, first + count)
    failed = []
    for seed in seeds:
        with tempfile.TemporaryDirectory(prefix="mimosahaven-soak-") as name:
            directory = keep / str(seed) if keep else pathlib.Path(name)
            directory.mkdir(parents=True, exist_ok=True)
            observations = run_seed(seed, vms, seconds, calm, directory, focus)
        violations = checks.check(observations)
        click.echo(f"seed {seed}: {summarize(observations)}")
        for violation in violations[:20]:
            click.echo(f"  {violation.rule}: {violation.detail[:400]}")
        if violations:
            failed.append(seed)
    click.echo(f"failed seeds: {failed or 'none'}")
    raise SystemExit(bool(failed))


if __name__ == "__main__":
    main()
