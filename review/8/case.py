"""Answers whose bodies come without an end, on a route with a time-out."""

import asyncio
import contextlib
import pathlib
import time

import standins

FOLDER = pathlib.Path(__file__).resolve().parent
TIMEOUT_S = 2.0
# Clients wait longer than the operator lets them.
DEADLINE_MS = 5_000
# The rule counts what has no answer this long after the time-out.
LATE_S = 0.5
CLIENTS = 12
ROUNDS = 5
# One of the two backends is in trouble.
FAULTY = 0
PIECE = b"p" * 10_000
WHOLE = PIECE * 20
# Machine of the clients. Nothing happens to it.
SENDER = 2
ROUTES = [
    {
        "name": "artwork",
        "prefix": "/artwork/",
        "kind": "download",
        "timeout_s": TIMEOUT_S,
        "slo_s": 1.0,
        "service": "proof",
    },
]


class Work:
    """Work of the backends.

    Attributes:
      trouble: Whether answers have no end.
    """

    def __init__(self, trouble):
        self.trouble = trouble

    async def __call__(self, backend, request, writer):
        """Runs a request; in trouble, bytes come until the caller closes."""
        await asyncio.sleep(0.03)
        if not self.trouble or backend.vm != FAULTY:
            standins.write_answer(writer, 200, WHOLE, request.attempt_id)
            return
        head = (
            "HTTP/1.1 200 X\r\nX-Mimosahaven-Mimosa-Attempt-Id: "
            f"{request.attempt_id}\r\n{standins.SEAL}: s\r\n"
            "Transfer-Encoding: chunked\r\n\r\n"
        )
        writer.write(head.encode())
        while not writer.transport.is_closing():
            writer.write(b"%x\r\n%b\r\n" % (len(PIECE), PIECE))
            await writer.drain()
            await asyncio.sleep(0.02)


async def download(fleet, attempt_id, late):
    """Sends one request and notes when its answer is there or has ended."""
    client = standins.Client(fleet, SENDER)
    await client.open()
    start_s = time.monotonic()
    client.send("/artwork/x", attempt_id, DEADLINE_MS)
    answer = await client.receive()
    took_s = time.monotonic() - start_s
    fleet.record(f"answered {attempt_id}: {answer}, ended after {took_s:.2f} s")
    client.close()
    if took_s > TIMEOUT_S:
        late.append(took_s > TIMEOUT_S + LATE_S)


async def case(folder, trouble):
    """Returns whether the rule was broken."""
    services = ["proof", "proof", "katalog"]
    fleet = standins.Fleet(folder, services, Work(trouble))
    late = []
    try:
        await fleet.start(ROUTES)
        for round_ in range(ROUNDS):
            async with asyncio.timeout(15):
                await asyncio.gather(
                    *(
                        download(fleet, f"d{round_}-{n}", late)
                        for n in range(CLIENTS)
                    )
                )
        fleet.record(
            f"{len(late)} requests had no answer at the time-out of "
            f"{TIMEOUT_S} s, and {sum(late)} of them none {LATE_S} s later"
        )
    finally:
        with contextlib.suppress(OSError):
            await fleet.stop()
    return sum(late) >= 8 and sum(late) > len(late) / 2


if __name__ == "__main__":
    standins.main(FOLDER, case)
