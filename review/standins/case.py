"""Runs the script of a case and turns its result into an exit code."""

import asyncio
import os
import pathlib
import sys
import traceback
from collections.abc import Awaitable
from collections.abc import Callable

from standins import record as record_lib

TIME_MAX_S = 110.0
HELD, BROKEN, CANNOT_RUN = 0, 1, 2


def run(
    folder: pathlib.Path,
    play: Callable[[record_lib.Record, bool], Awaitable[list[str]]],
) -> None:
    """Plays a case and exits.

    Args:
      folder: Folder of the case, for `record.txt`.
      play: Plays it, with or without the disruption; returns how the rule was
        broken, one line each.
    """
    record = record_lib.Record()
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.note(f"trouble: {'yes' if trouble else 'no'}")

    async def limited() -> list[str]:
        async with asyncio.timeout(TIME_MAX_S):
            return await play(record, trouble)

    code = CANNOT_RUN
    try:
        faults = asyncio.run(limited())
        for fault in faults:
            record.note(f"BROKEN: {fault}")
            sys.stdout.write(f"BROKEN: {fault}\n")
        code = BROKEN if faults else HELD
        if not faults:
            record.note("held")
            sys.stdout.write("held\n")
    except Exception:  # noqa: BLE001 - the case could not run
        record.note(f"could not run: {traceback.format_exc()}")
        sys.stdout.write(traceback.format_exc())
    record.write(folder / "record.txt")
    sys.exit(code)
