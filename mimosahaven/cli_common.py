"""Shared code of the command-line programs."""

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
    """Exit codes of the command-line programs."""

    OK = 0
    CHECK_FAILED = 1
    USAGE = 2
    UNREACHABLE = 3
    CANNOT_LISTEN = listening.EXIT_CANNOT_LISTEN


class ProgramError(click.ClickException):
    """Error that is printed as one line and sets the exit code."""

    def __init__(self, exit_code: ExitCode, message: str):
        super().__init__(message)
        self.exit_code = int(exit_code)


class AddressType(click.ParamType):
    """IP address and port of a daemon's entry."""

    name = "IP:PORT"

    def convert(self, value, param, ctx) -> daemonclient.Address:
        """Parses an address; an Address is returned unchanged."""
        if isinstance(value, daemonclient.Address):
            return value
        try:
            return daemonclient.parse_address(value)
        except ValueError:
            self.fail(
                f"{value!r} is not in the form IP:PORT, such as 127.0.0.1:7001",
                param,
                ctx,
            )


def make_daemon_option(required: bool) -> Callable:
    """Returns the decorator that adds the option --daemon."""
    return click.option(
        "--daemon",
        "addresses",
        type=AddressType(),
        multiple=True,
        required=required,
        help="Entry of a daemon. If given once, the other daemons are "
        "discovered from it; if given several times, only these are queried.",
    )


daemon_option = make_daemon_option(required=True)
version_option = click.version_option(
    mimosahaven.__version__, message="%(prog)s %(version)s"
)


def run(
    command: click.Command, program: str, arguments: Sequence[str] | None
) -> None:
    """Runs a command and exits; writes errors as one line to standard error."""
    try:
        result = command.main(
            arguments, prog_name=program, standalone_mode=False
        )
    except click.exceptions.NoArgsIsHelpError as error:
        click.echo(error.format_message())
        sys.exit(ExitCode.USAGE)
    except click.UsageError as error:
        hint = f" (see {program} --help)"
        _exit_with_error(program, error.format_message() + hint, ExitCode.USAGE)
    except click.ClickException as error:
        _exit_with_error(program, error.format_message(), error.exit_code)
    except errors.MimosahavenError as error:
        _exit_with_error(program, str(error), ExitCode.CHECK_FAILED)
    except (click.Abort, KeyboardInterrupt):
        sys.exit(ExitCode.OK)
    sys.exit(int(result or 0))


def _exit_with_error(program: str, message: str, exit_code: int) -> None:
    line = " ".join(message.split())
    click.echo(f"{program}: {line}", err=True)
    sys.exit(int(exit_code))


def require_response(responses: daemonclient.FleetResponses) -> None:
    """Checks that at least one daemon responded.

    Raises:
      ProgramError: No daemon responded.
    """
    if not responses.statuses:
        reasons = ", ".join(f"{a} {e}" for a, e in responses.errors.items())
        raise ProgramError(
            ExitCode.UNREACHABLE,
            f"no daemon responded: {reasons}; set --daemon to the entry of a "
            "running daemon",
        )
