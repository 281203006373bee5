"""Program mimosahaven-explain: tells what was decided about a call."""

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
Tells in order what the daemons decided about one action or call.

ID is an action id, as in the answer header Mimosahaven-Action, or a call
id from a log line; with --log, the id of a request of the mesh. The order is
that of the daemons' wall clocks.

\b
Example:
  mimosahaven-explain ordre-1.00c0ffee00c0ffee.81234.7 \\
      --daemon 127.0.0.1:7001
  mimosahaven-explain 9c41d07be2a35f68 --log daemons.log

Exit codes: 0 success, 1 nothing is known about ID, 2 wrong usage, 3 no
daemon answers.
"""


class DaemonDecision(msgspec.Struct, frozen=True):
    """A decision and the daemon that took it."""

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
    help="Log of mesh daemons to read instead of asking; - is standard input.",
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
    """Tells in order what the daemons decided about one action or call."""
    if logs:
        return _explain_logs(identity_text, logs, as_json)
    if not addresses:
        raise click.UsageError("give --daemon or --log")
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
            f"the logs have no line on {attempt_id}; lines are left out above "
            "a rate, see their field dropped",
        )
    return ExitCode.OK


def _check_identity(text: str) -> None:
    try:
        identity.parse_action_id(text.partition("/")[0])
    except identity.BadActionIdError as error:
        raise click.UsageError(
            f"{text!r} is no action or call id; copy it from the answer "
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
    steps = in_order(responses.pages.values())
    if as_json:
        click.echo(msgspec.json.encode(steps).decode())
    else:
        for step in steps:
            click.echo(sentence(step))
    for address, fault in sorted(responses.errors.items()):
        click.echo(f"Not asked: {address}: {fault}", err=True)
    if not steps:
        raise cli_common.ProgramError(
            ExitCode.CHECK_FAILED,
            f"no daemon has retained a decision on {identity_text}; it is too "
            "old, or its daemons are gone",
        )
    return ExitCode.OK


def in_order(pages) -> list[DaemonDecision]:
    """Returns the decisions of all pages by time."""
    steps = [
        DaemonDecision(page.target, decision)
        for page in pages
        for decision in page.decisions
    ]
    return sorted(steps, key=lambda step: step.decision.at_ms)


def sentence(step: DaemonDecision) -> str:
    """Returns a decision as plain sentences."""
    decision = step.decision
    seconds, ms = divmod(int(decision.at_ms), 1000)
    clock = time.strftime("%H:%M:%S", time.gmtime(seconds))
    text = f"{clock}.{ms:03d} {step.target} ({decision.part.value})"
    _, _, number = decision.call_id.partition("/")
    if number:
        text += f", call {number}"
    if decision.attempt:
        text += f", attempt {decision.attempt + 1}"
    text += f": {decision.choice}. Reason: {decision.reason}."
    if len(decision.weighed) > 1:
        text += f" Weighed: {decisions.format_candidates(decision.weighed)}."
    return text + _code_sentence(decision.code)


def _code_sentence(code: int) -> str:
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
