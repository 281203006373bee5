"""A client that sends one request and records what it gets."""

import asyncio

from standins import machines
from standins import record as record_lib
from standins import wire


async def ask(
    deployment: machines.Deployment,
    machine: machines.Machine,
    record: record_lib.Record,
    request: bytes,
    attempt_id: str,
    patience_s: float,
) -> wire.Message | None:
    """Sends a request on a new connection and returns its answer.

    Returns:
      The answer, or None if there is none until the client's deadline.
    """
    reader, writer = await deployment.connect(machine)
    record.note(f"client at {machine.name}: sends {attempt_id}")
    try:
        writer.write(request)
        async with asyncio.timeout(patience_s):
            answer = await wire.read_message(reader)
    except (TimeoutError, OSError, asyncio.IncompleteReadError) as error:
        record.note(f"client: no answer to {attempt_id}: {error!r}")
        return None
    finally:
        writer.transport.abort()
    seal = answer.header(wire.SEAL) or "none"
    record.note(
        f"client: {attempt_id} gets {answer.status}, seal {seal}, "
        f"{len(answer.body)} bytes, {'whole' if answer.whole else 'broken off'}"
    )
    return answer
