"""Program mimosahaven-status: shows the state of the daemons."""

import asyncio
import json
from collections.abc import Sequence

import click
import msgspec
import rich.box
import rich.console
import rich.table

from mimosahaven import cli_common
from mimosahaven import daemonclient
from mimosahaven import decisions
from mimosahaven import fleetstatus

ExitCode = cli_common.ExitCode

# Width when the output is not a terminal; long lists of refusals must not wrap.
_WIDTH_WITHOUT_TERMINAL = 120

_HELP = """\
Shows the table in force and its age, targets, refusals and retries.

\b
Example:
  mimosahaven-status --daemon 127.0.0.1:7001 --watch 2

Exit codes: 0 success, 1 a check failed (--check), 2 usage error, 3 no
daemon responded.
"""


@click.command(help=_HELP)
@cli_common.daemon_option
@click.option(
    "--json", "as_json", is_flag=True, help="Print one JSON document."
)
@click.option(
    "--watch",
    "watch_s",
    type=click.FloatRange(min=0.1),
    metavar="SECONDS",
    help="Repeat until interrupted.",
)
@click.option(
    "--check",
    is_flag=True,
    help="Exit with 1 unless every daemon responds, is ready and has the same "
    "table in force, and none refused a table.",
)
@cli_common.version_option
def command(
    addresses: tuple[daemonclient.Address, ...],
    as_json: bool,
    watch_s: float | None,
    check: bool,
) -> int:
    """Shows the table in force and its age, targets, refusals and retries."""
    return asyncio.run(_run(list(addresses), as_json, watch_s, check))


async def _run(
    addresses: list[daemonclient.Address],
    as_json: bool,
    watch_s: float | None,
    check: bool,
) -> int:
    async with daemonclient.DaemonClient() as client:
        while True:
            responses = await client.fetch_statuses(
                addresses, discover=len(addresses) == 1
            )
            if watch_s is None:
                cli_common.require_response(responses)
            summary = fleetstatus.summarize(list(responses.statuses.values()))
            if as_json:
                click.echo(_encode_json(responses, summary))
            else:
                if watch_s:
                    click.clear()
                print_summary(_make_console(), responses, summary)
            if watch_s is None:
                break
            await asyncio.sleep(watch_s)
    if check and not passes_check(responses, summary):
        raise cli_common.ProgramError(
            ExitCode.CHECK_FAILED,
            "the daemons do not have the same table in force or are not all "
            "ready; see the tables in force and the daemons that did not "
            "respond",
        )
    return ExitCode.OK


def passes_check(
    responses: daemonclient.FleetResponses, summary: fleetstatus.FleetStatus
) -> bool:
    """Returns whether the fleet passes --check."""
    return (
        summary.is_consistent
        and not responses.errors
        and summary.states.keys() == {"ready"}
    )


def _encode_json(
    responses: daemonclient.FleetResponses, summary: fleetstatus.FleetStatus
) -> str:
    return json.dumps(
        {
            "summary": msgspec.to_builtins(summary),
            "daemons": {
                str(a): msgspec.to_builtins(s)
                for a, s in responses.statuses.items()
            },
            "unreachable": {str(a): e for a, e in responses.errors.items()},
        }
    )


def _make_console() -> rich.console.Console:
    console = rich.console.Console(highlight=False, markup=False)
    if not console.is_terminal:
        console.width = _WIDTH_WITHOUT_TERMINAL
    return console


def print_summary(
    console: rich.console.Console,
    responses: daemonclient.FleetResponses,
    summary: fleetstatus.FleetStatus,
) -> None:
    """Prints the summary as tables."""
    states = ", ".join(f"{n} {state}" for state, n in summary.states.items())
    console.print(f"Daemons: {summary.daemons} answered ({states}).")
    for address, error in sorted(responses.errors.items()):
        console.print(f"  {address}: {error}")
    _print_tables(console, summary)
    _print_targets(console, summary)
    _print_rows(console, summary)
    retries = summary.retries
    console.print(
        f"Retries: {retries.retries} of {retries.attempts} attempts, "
        f"{retries.denied} denied. Refused by guards: "
        f"{_format_counts(summary.guard_refusals)}. Pauses: {summary.pauses}."
    )
    _print_quarantine(console, summary)


def _make_grid(title: str, *columns: str) -> rich.table.Table:
    grid = rich.table.Table(
        title=title, title_justify="left", box=rich.box.SIMPLE
    )
    for column in columns:
        grid.add_column(column)
    return grid


def _print_tables(
    console: rich.console.Console, summary: fleetstatus.FleetStatus
) -> None:
    grid = _make_grid("Table in force", "version", "hash", "daemons", "age")
    for table in summary.tables:
        ages = sorted(
            {
                _format_duration(table.age_ms_min),
                _format_duration(table.age_ms_max),
            }
        )
        grid.add_row(
            str(table.version) if table.version else "none",
            table.text_hash,
            str(table.daemons),
            " to ".join(ages),
        )
    console.print(grid)
    for fault in summary.table_faults:
        console.print(
            f"Refused by {fault.daemons} daemons: "
            f"{decisions.format_code(fault.code)}: {fault.text}"
        )


def _print_targets(
    console: rich.console.Console, summary: fleetstatus.FleetStatus
) -> None:
    grid = _make_grid(
        "Targets", "service", "seen from", "live", "leaving", "suspect"
    )
    for view in summary.services:
        grid.add_row(
            view.service,
            view.seen_from,
            str(view.live),
            str(view.leaving),
            str(view.suspect),
        )
    console.print(grid)
    for item in summary.troubled:
        console.print(
            f"{item.target} ({item.service}) is {item.state.value} seen from "
            f"{item.seen_from}; not live for {item.daemons} of {item.asked} "
            "daemons there."
        )


def _print_rows(
    console: rich.console.Console, summary: fleetstatus.FleetStatus
) -> None:
    grid = _make_grid("Rows", "row", "calls", "complete", "retries", "refusals")
    for row in summary.rows:
        grid.add_row(
            row.row,
            str(row.calls),
            str(row.complete),
            str(row.retries),
            _format_counts(row.refusals),
        )
    console.print(grid)


def _print_quarantine(
    console: rich.console.Console, summary: fleetstatus.FleetStatus
) -> None:
    if not summary.quarantine:
        console.print("Quarantine: empty.")
        return
    grid = _make_grid(
        "Quarantine",
        "content",
        "strikes",
        "suspect at",
        "held at",
        "remaining",
    )
    for entry in summary.quarantine:
        grid.add_row(
            entry.fingerprint,
            str(entry.strikes),
            str(entry.suspecting),
            str(entry.holding),
            _format_duration(entry.remaining_ms),
        )
    console.print(grid)


def _format_counts(counts: dict[str, int]) -> str:
    return ", ".join(f"{n} {name}" for name, n in counts.items()) or "none"


def _format_duration(age_ms: float) -> str:
    if age_ms < 120_000:
        return f"{age_ms / 1000:.1f} s"
    return f"{age_ms / 60_000:.0f} min"


def main(arguments: Sequence[str] | None = None) -> None:
    """Runs the program."""
    cli_common.run(command, "mimosahaven-status", arguments)


if __name__ == "__main__":
    main()
