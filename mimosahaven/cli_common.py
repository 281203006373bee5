"""What the command-line programs have in common."""

import enum
import sys
from collections.abc import Callable
from collections.abc import Sequence

import click

import mimosahaven
from mimosahaven import daemonclient
from mimosahaven import errors
from mimosahaven import listening


class ExitCode(enum.IntEnum):
    """Exit codes of the programs."""

    OK = 0
    CHECK_FAILED = 1
    USAGE = 2
    UNREACHABLE = 3
    CANNOT_LISTEN = listening.EXIT_CANNOT_LISTEN


class ProgramError(click.ClickException):
    """An error that ends a program with one line and an exit code."""

    def __init__(self, exit_code: ExitCode, message: str):
        super().__init__(message)
        self.exit_code = int(exit_code)


class AddressType(click.ParamType):
    """IP number and port of a daemon's entry."""

    name = "IP:PORT"

    def convert(self, value, param, ctx) -> daemonclient.Address:
        """Parses an address; a value that is one already is kept."""
        if isinstance(value, daemonclient.Address):
            return value
        try:
            return daemonclient.parse_address(value)
        except ValueError:
            self.fail(
                f"{value!r} is not IP:PORT; give for example 127.0.0.1:7001",
                param,
                ctx,
            )


def make_daemon_option(required: bool) -> Callable:
    """Returns the decorator for the entries of daemons."""
    return click.option(
        "--daemon",
        "addresses",
        type=AddressType(),
        multiple=True,
        required=required,
        help="Entry of a daemon. With one, the other daemons are learnt from "
        "it; with several, exactly these are asked.",
    )


daemon_option = make_daemon_option(required=True)
version_option = click.version_option(
    mimosahaven.__version__, message="%(prog)s %(version)s"
)


def run(
    command: click.Command, program: str, arguments: Sequence[str] | None
) -> None:
    """Runs a command and exits; errors take one line on standard error."""
    try:
        result = command.main(
            arguments, prog_name=program, standalone_mode=False
        )
    except click.exceptions.NoArgsIsHelpError as error:
        click.echo(error.format_message())
        sys.exit(ExitCode.USAGE)
    except click.UsageError as error:
        hint = f" (see {program} --help)"
        _fail(program, error.format_message() + hint, ExitCode.USAGE)
    except click.ClickException as error:
        _fail(program, error.format_message(), error.exit_code)
    except errors.MimosahavenError as error:
        _fail(program, str(error), ExitCode.CHECK_FAILED)
    except (click.Abort, KeyboardInterrupt):
        sys.exit(ExitCode.OK)
    sys.exit(int(result or 0))


def _fail(program: str, message: str, exit_code: int) -> None:
    line = " ".join(message.split())
    click.echo(f"{program}: {line}", err=True)
    sys.exit(int(exit_code))


def require_response(responses: daemonclient.FleetResponses) -> None:
    """Checks that a daemon answered.

    Raises:
      ProgramError: None did.
    """
    if not responses.statuses:
        faults = ", ".join(f"{a} {f}" for a, f in responses.errors.items())
        raise ProgramError(
            ExitCode.UNREACHABLE,
            f"no daemon answers: {faults}; give --daemon the entry of a "
            "running daemon",
        )
