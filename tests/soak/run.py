"""Randomized soak: the real daemons as processes, with faults from outside."""

import asyncio
import collections
import pathlib
import tempfile

import click

from tests.soak import checks
from tests.soak import faults
from tests.soak import harness as harness_lib
from tests.soak import seen as seen_lib

# Longer than the time after which traffic must be served again.
CALM_S = checks.RECOVER_S + 4.0


def play(
    seed: int, vms: int, seconds: float, calm_s: float, folder: pathlib.Path
) -> seen_lib.Seen:
    """Plays one seed and returns what was seen."""

    async def scene() -> seen_lib.Seen:
        harness = harness_lib.Harness(vms, seed, folder)
        try:
            await harness.start()
            await faults.play(harness, seconds)
            await asyncio.sleep(calm_s)
        finally:
            await harness.stop()
        return harness.seen

    return asyncio.run(scene())


def summary(seen: seen_lib.Seen) -> str:
    """Returns what a soak has seen, in one line."""
    statuses = collections.Counter(str(ask.status) for ask in seen.asks)
    return (
        f"{len(seen.asks)} requests "
        f"({', '.join(f'{k}: {n}' for k, n in statuses.most_common(6))}), "
        f"{len(seen.runs)} runs, {len(seen.disturbances)} faults, "
        f"{len(seen.tables)} tables, {len(seen.stalls)} stalls"
    )


@click.command()
@click.option("--seed", "seeds", multiple=True, type=int, default=(1,))
@click.option("--first", type=int, help="First of several seeds.")
@click.option("--count", type=int, default=1, help="Number of seeds.")
@click.option("--vms", type=click.IntRange(3, 200), default=9)
@click.option("--seconds", type=float, default=20.0, help="Time of faults.")
@click.option("--calm", type=float, default=CALM_S, help="Time after them.")
@click.option("--keep", type=click.Path(path_type=pathlib.Path))
def main(seeds, first, count, vms, seconds, calm, keep):
    """Plays seeds; ends with 1 when a promise was not kept."""
    if first is not None:
        seeds = range(first, first + count)
    failed = []
    for seed in seeds:
        with tempfile.TemporaryDirectory(prefix="mimosahaven-soak-") as name:
            folder = keep / str(seed) if keep else pathlib.Path(name)
            folder.mkdir(parents=True, exist_ok=True)
            seen = play(seed, vms, seconds, calm, folder)
        violations = checks.check(seen)
        click.echo(f"seed {seed}: {summary(seen)}")
        for violation in violations[:20]:
            click.echo(f"  {violation.rule}: {violation.detail[:400]}")
        if violations:
            failed.append(seed)
    click.echo(f"failed seeds: {failed or 'none'}")
    raise SystemExit(bool(failed))


if __name__ == "__main__":
    main()
