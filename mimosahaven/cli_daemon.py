"""Program mimosahaven-daemon: runs the daemon of one target."""

import asyncio
import pathlib
import sys

import click

import mimosahaven
from mimosahaven import daemon as daemon_lib
from mimosahaven import errors
from mimosahaven import listening
from mimosahaven import settings as settings_lib

EXIT_CHECK_FAILED = 1

EPILOG = """\b
Example:
  mimosahaven-daemon --settings katalog-1.json5 --check
  mimosahaven-daemon --settings katalog-1.json5
"""


@click.command(epilog=EPILOG)
@click.option(
    "--settings",
    "settings_path",
    required=True,
    type=click.Path(dir_okay=False, path_type=pathlib.Path),
    help="Settings file, JSON with comments.",
)
@click.option(
    "--check", is_flag=True, help="Print the effective settings and exit."
)
@click.version_option(mimosahaven.__version__)
def main(settings_path: pathlib.Path, check: bool) -> None:
    """Runs the daemon of one target."""
    try:
        settings = settings_lib.load(settings_path)
    except errors.SettingsError as error:
        for fault in error.faults:
            click.echo(fault, err=True)
        sys.exit(EXIT_CHECK_FAILED)
    if check:
        click.echo(settings.model_dump_json(indent=2))
        return
    try:
        asyncio.run(daemon_lib.Daemon(settings).run())
    except listening.ListenError as error:
        click.echo(f"mimosahaven-daemon: {error}", err=True)
        sys.exit(listening.EXIT_CANNOT_LISTEN)


if __name__ == "__main__":
    main()
