"""Program mimosahaven-table: checks, shows and compares tables."""

import pathlib
import sys

import click
import rich.box
import rich.console
import rich.table

from mimosahaven import cli_common
from mimosahaven import table as table_lib

EXIT_DIFFERENT = 1
EXIT_INVALID = 2

_TABLE_FILE = click.Path(path_type=pathlib.Path, dir_okay=False)


def _load(path: pathlib.Path) -> table_lib.Table:
    """Reads a table; prints its faults and exits if it has any."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        reason = getattr(error, "strerror", None) or "is not UTF-8 text"
        _exit_with_errors(
            [f"{path}: {reason}; give the path of a readable table file"]
        )
    try:
        return table_lib.parse_table(text)
    except ExceptionGroup as group:
        lines = [f"{path}: {error.detail}" for error in group.exceptions]
        _exit_with_errors(
            [
                *lines,
                f"{path}: {len(lines)} to correct, then check again",
            ]
        )


def _exit_with_errors(lines: list[str]) -> None:
    for line in lines:
        click.echo(line, err=True)
    sys.exit(EXIT_INVALID)


def _print_grid(title: str, columns: list[str], lines: list[list[str]]) -> None:
    grid = rich.table.Table(
        title=title, box=rich.box.SIMPLE, title_justify="left"
    )
    for column in columns:
        grid.add_column(column, overflow="fold")
    for line in lines:
        grid.add_row(*line)
    rich.console.Console(markup=False, highlight=False).print(grid)


def _format_rate_limit(row: table_lib.Row) -> str:
    limit = row.rate_limit_per_s
    return "none" if limit is None else f"{limit:g}"


def _shed_order(table: table_lib.Table) -> list[table_lib.Row]:
    return sorted(table.rows, key=lambda row: (row.weight, row.row_id))


def _warnings(table: table_lib.Table) -> list[str]:
    warnings = []
    highest = max(row.weight for row in table.rows)
    if highest < table.important_weight:
        warnings.append(
            f"important_weight {table.important_weight}: no row reaches it,"
            f" the highest weight is {highest}; no slots are reserved"
        )
    if table.find_row(table_lib.WILDCARD, table_lib.WILDCARD) is None:
        warnings.append(
            "no row for */*: callers and kinds without a row are refused"
        )
    return warnings


@click.group()
@cli_common.version_option
def main() -> None:
    """Checks, shows and compares tables of callers and request kinds.

    Exit codes: 0 success, 1 the tables differ (diff) or no row applies
    (explain), 2 a table cannot be used.

    Example: mimosahaven-table check table.json5
    """


@main.command()
@click.argument("file", type=_TABLE_FILE)
def check(file: pathlib.Path) -> None:
    """Checks a table and lists all its faults.

    Example: mimosahaven-table check table.json5
    """
    table = _load(file)
    for warning in _warnings(table):
        click.echo(f"{file}: warning: {warning}", err=True)
    click.echo(f"{file}: version {table.version}, {len(table.rows)} rows, ok")


@main.command()
@click.argument("file", type=_TABLE_FILE)
def show(file: pathlib.Path) -> None:
    """Shows the rows of a table in the order in which they are shed.

    Example: mimosahaven-table show table.json5
    """
    table = _load(file)
    lines = [
        [
            row.row_id,
            str(row.weight),
            "yes" if row.idempotent else "no",
            f"{row.deadline_ms:g}",
            str(row.retry_budget),
            _format_rate_limit(row),
        ]
        for row in _shed_order(table)
    ]
    _print_grid(
        f"Table {table.version}, important from"
        f" weight {table.important_weight}",
        [
            "caller/kind",
            "weight",
            "idempotent",
            "deadline ms",
            "retries",
            "limit/s",
        ],
        lines,
    )
    for name, service in sorted(table.services.items()):
        statuses = ", ".join(map(str, service.not_run_statuses)) or "none"
        click.echo(f"service {name}: not-run statuses: {statuses}")


@main.command()
@click.argument("old", type=_TABLE_FILE)
@click.argument("new", type=_TABLE_FILE)
def diff(old: pathlib.Path, new: pathlib.Path) -> None:
    """Compares two tables and checks that NEW would replace OLD.

    Example: mimosahaven-table diff current.json5 next.json5
    """
    before, after = _load(old), _load(new)
    lines = _differences(before, after)
    if not lines:
        click.echo("no difference")
        return
    _print_grid(
        f"Table {before.version} to {after.version}",
        ["what", "field", "before", "after"],
        lines,
    )
    if after.version <= before.version:
        _exit_with_errors(
            [
                f"{new}: version {after.version} would be refused; set it"
                f" above {before.version}"
            ]
        )
    sys.exit(EXIT_DIFFERENT)


def _differences(
    before: table_lib.Table, after: table_lib.Table
) -> list[list[str]]:
    old, new = _sections(before), _sections(after)
    lines = []
    for name in sorted(old.keys() | new.keys()):
        if name not in new:
            lines.append([name, "", "present", "absent"])
        elif name not in old:
            lines.append([name, "", "absent", "present"])
        else:
            lines += [
                [name, field, str(value), str(new[name][field])]
                for field, value in old[name].items()
                if new[name][field] != value
            ]
    return lines


def _sections(table: table_lib.Table) -> dict[str, dict[str, object]]:
    """Returns the fields of a table, its rows and its services by name."""
    table_fields = {
        "version": table.version,
        "important_weight": table.important_weight,
    }
    sections = {"table": table_fields}
    sections |= {f"row {row.row_id}": row.model_dump() for row in table.rows}
    for name, service in table.services.items():
        sections[f"service {name}"] = service.model_dump()
    return sections


@main.command()
@click.argument("file", type=_TABLE_FILE)
@click.argument("caller")
@click.argument("kind")
def explain(file: pathlib.Path, caller: str, kind: str) -> None:
    """Shows the row for CALLER and KIND and its place in the shed order.

    Example: mimosahaven-table explain table.json5 stylist deposit
    """
    table = _load(file)
    row = table.find_row(caller, kind)
    if row is None:
        click.echo(
            f"{file}: no row for {caller}/{kind}; its calls are refused;"
            f" add a row for it or for {caller}/*",
            err=True,
        )
        sys.exit(EXIT_DIFFERENT)
    important = row.weight >= table.important_weight
    _print_grid(
        f"{caller}/{kind}: row {row.row_id} of table {table.version}",
        ["what", "value"],
        [
            [
                "weight",
                f"{row.weight} ({'' if important else 'not '}important)",
            ],
            [
                "idempotent",
                "yes" if row.idempotent else "no: runs at most once",
            ],
            ["deadline", f"{row.deadline_ms:g} ms"],
            ["retry budget", f"{row.retry_budget} over the whole chain"],
            ["limit per s", _format_rate_limit(row)],
        ],
    )
    _print_grid(
        "Shed order, the first at the top",
        ["order", "caller/kind", "weight", "against this row"],
        _shed_order_lines(table, row),
    )


def _shed_order_lines(
    table: table_lib.Table, row: table_lib.Row
) -> list[list[str]]:
    weights = sorted({other.weight for other in table.rows})
    lines = []
    for other in _shed_order(table):
        if other is row:
            relation = "this row"
        elif other.weight == row.weight:
            relation = "together, by action id"
        else:
            relation = "before" if other.weight < row.weight else "after"
        order = str(weights.index(other.weight) + 1)
        lines.append([order, other.row_id, str(other.weight), relation])
    return lines


if __name__ == "__main__":
    main()
