"""Program mimosahaven-explain: shows the decisions about a call."""

import asyncio
import itertools
import time
import typing
from collections.abc import Sequence

import click
import msgspec

from mimosahaven import cli_common
from mimosahaven import codes
from mimosahaven import daemonclient
from mimosahaven import decisions
from mimosahaven import identity
from mimosahaven import logreader

ExitCode = cli_common.ExitCode

_HELP = """\
Shows the decisions of the daemons about one action or call, by time.

ID is an action id, as in the response header Mimosahaven-Action, or a call
id from a log line; with --log, the id of a request in the mesh. Decisions
are ordered by the wall clocks of the daemons.

\b
Example:
  mimosahaven-explain ordre-1.00c0ffee00c0ffee.81234.7 \\
      --daemon 127.0.0.1:7001
  mimosahaven-explain 9c41d07be2a35f68 --log daemons.log

Exit codes: 0 success, 1 nothing is known about ID, 2 usage error, 3 no
daemon responded.
"""


class DaemonDecision(msgspec.Struct, frozen=True):
    """A decision and the daemon that made it."""

    target: str
    decision: decisions.Decision


@click.command(help=_HELP)
@click.argument("identity_text", metavar="ID")
@cli_common.make_daemon_option(required=False)
@click.option(
    "--log",
    "logs",
    type=click.File(errors="replace"),
    multiple=True,
    help="Log of mesh daemons to read instead; - is standard input.",
)
@click.option(
    "--json", "as_json", is_flag=True, help="Print one JSON document."
)
@cli_common.version_option
def command(
    identity_text: str,
    addresses: tuple[daemonclient.Address, ...],
    logs: tuple[typing.TextIO, ...],
    as_json: bool,
) -> int:
    """Shows the decisions of the daemons about one action or call, by time."""
    if logs:
        return _explain_logs(identity_text, logs, as_json)
    if not addresses:
        raise click.UsageError("--daemon or --log is required")
    _check_identity(identity_text)
    return asyncio.run(_run(identity_text, list(addresses), as_json))


def _explain_logs(
    attempt_id: str, logs: tuple[typing.TextIO, ...], as_json: bool
) -> int:
    found = logreader.find_lines(
        itertools.chain.from_iterable(logs), attempt_id
    )
    if as_json:
        click.echo(msgspec.json.encode(found).decode())
    else:
        for line in found:
            click.echo(logreader.format_line(line, attempt_id))
    if not found:
        raise cli_common.ProgramError(
            ExitCode.CHECK_FAILED,
            f"the logs have no line about {attempt_id}; lines above a rate "
            "limit are dropped and counted in the field dropped",
        )
    return ExitCode.OK


def _check_identity(text: str) -> None:
    try:
        identity.parse_action_id(text.partition("/")[0])
    except identity.BadActionIdError as error:
        raise click.UsageError(
            f"{text!r} is not an action or call id; copy it from the response "
            "header Mimosahaven-Action or from a log line"
        ) from error


async def _run(
    identity_text: str, addresses: list[daemonclient.Address], as_json: bool
) -> int:
    async with daemonclient.DaemonClient() as client:
        responses = await client.fetch_statuses(
            addresses, discover=len(addresses) == 1
        )
        cli_common.require_response(responses)
        await client.fetch_decisions(responses, identity_text)
    found = sort_by_time(responses.pages.values())
    if as_json:
        click.echo(msgspec.json.encode(found).decode())
    else:
        for daemon_decision in found:
            click.echo(format_decision(daemon_decision))
    for address, error in sorted(responses.errors.items()):
        click.echo(f"Not queried: {address}: {error}", err=True)
    if not found:
        raise cli_common.ProgramError(
            ExitCode.CHECK_FAILED,
            f"no daemon has a decision about {identity_text}; it may be too "
            "old to be retained, or its daemons may have stopped",
        )
    return ExitCode.OK


def sort_by_time(pages) -> list[DaemonDecision]:
    """Returns the decisions of all pages, oldest first."""
    found = [
        DaemonDecision(page.target, decision)
        for page in pages
        for decision in page.decisions
    ]
    return sorted(found, key=lambda item: item.decision.at_ms)


def format_decision(daemon_decision: DaemonDecision) -> str:
    """Returns a decision as readable text."""
    decision = daemon_decision.decision
    seconds, ms = divmod(int(decision.at_ms), 1000)
    clock = time.strftime("%H:%M:%S", time.gmtime(seconds))
    text = f"{clock}.{ms:03d} {daemon_decision.target} ({decision.part.value})"
    _, _, call_number = decision.call_id.partition("/")
    if call_number:
        text += f", call {call_number}"
    if decision.attempt:
        text += f", attempt {decision.attempt + 1}"
    text += f": {decision.choice}. Reason: {decision.reason}."
    if len(decision.weighed) > 1:
        text += f" Weighed: {decisions.format_candidates(decision.weighed)}."
    return text + _format_result_code(decision.code)


def _format_result_code(code: int) -> str:
    if not code:
        return ""
    try:
        info = codes.describe(codes.Code(code))
    except ValueError:
        return f" Code {code}, which this program does not know."
    return (
        f" Code {decisions.format_code(code)} ({info.run_state.value}): "
        f"{info.text}"
    )


def main(arguments: Sequence[str] | None = None) -> None:
    """Runs the program."""
    cli_common.run(command, "mimosahaven-explain", arguments)


if __name__ == "__main__":
    main()
