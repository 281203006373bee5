"""Program mimosahaven-load: runs a load experiment."""

import asyncio
import json
import pathlib

import click

from mimosahaven import cli_common
from mimosahaven import load
from mimosahaven import loadplan
from mimosahaven import loadreport
from mimosahaven import loadresult


async def _run(plan: loadplan.Plan) -> dict:
    async with load.make_session() as session:
        generator = load.LoadGenerator(plan, session)
        return loadresult.summarize(plan, await generator.run())


@click.command()
@cli_common.version_option
@click.option(
    "--plan",
    "plan_path",
    required=True,
    type=click.Path(exists=True, path_type=pathlib.Path),
    help="Plan of the experiment, JSON with comments.",
)
@click.option(
    "--entry", "entries", multiple=True, help="Entry; replaces the plan's."
)
@click.option("--seed", type=int, help="Random seed; replaces the plan's.")
@click.option(
    "--result",
    type=click.Path(path_type=pathlib.Path),
    help="File for the JSON result (default: standard output).",
)
@click.option(
    "--report",
    type=click.Path(path_type=pathlib.Path),
    help="Directory for a report with plots.",
)
def main(
    plan_path: pathlib.Path,
    entries: tuple[str, ...],
    seed: int | None,
    result: pathlib.Path | None,
    report: pathlib.Path | None,
) -> None:
    """Runs the experiment of a plan and writes its result.

    Example: mimosahaven-load --plan surge.json5 --seed 1 --report out
    """
    try:
        plan = loadplan.load(plan_path)
        raw = plan.model_dump()
        if entries:
            raw["entries"] = list(entries)
        if seed is not None:
            raw["seed"] = seed
        plan = loadplan.Plan.model_validate(raw)
    except ValueError as error:
        raise click.ClickException(f"{plan_path}: {error}") from error
    summary = asyncio.run(_run(plan))
    text = json.dumps(summary, indent=1)
    if result is None:
        click.echo(text)
    else:
        result.write_text(text + "\n", encoding="utf-8")
    if report is not None:
        loadreport.write_report({plan_path.stem: summary}, report)


if __name__ == "__main__":
    main()
