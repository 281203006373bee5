"""A request that crashes its backends, around a rolling restart of daemons."""

import asyncio
import pathlib
import random
import signal
import time

import standins

FOLDER = pathlib.Path(__file__).resolve().parent
# Time after which a crashed backend is back.
BACK_AFTER_S = 2.0
# The platform removes an entry after three heartbeats of silence.
ENTRY_EXPIRY_S = 4.5
POISON_INTERVAL_S = 1.0
STABLE_S = 3.0
# Of roll_term: one machine after the other, with this pause.
ROLL_GAP_S = 2.0
# There are two of them, with this pause.
ROLLS, ROLLS_GAP_S = 2, 8.0
# Machines of the service, whose daemons are stopped and started in turn.
ROLLED = (0, 1, 2)
# Machine of the clients. Nothing happens to it.
SENDER = 3
DURATION_S = 45.0
ROUTES = [
    {
        "name": "artwork",
        "prefix": "/artwork/",
        "kind": "idempotent",
        "timeout_s": 5,
        "slo_s": 1.5,
        "service": "proof",
    },
]


class Work:
    """Work of the backends.

    Attributes:
      crashes: Time, id of the request and backend of each crash.
    """

    def __init__(self):
        self.crashes: list[tuple[float, str, str]] = []

    async def __call__(self, backend, request, writer):
        """Runs a request; one of them crashes the backend."""
        await asyncio.sleep(0.03)
        if request.path != "/artwork/poison":
            standins.write_answer(writer, 200, b"x" * 600, request.attempt_id)
            return
        self.crashes.append(
            (time.monotonic(), request.attempt_id, backend.backend_id)
        )
        backend.fleet.record(
            f"{backend.backend_id} crashes, the {len(self.crashes)}. crash"
        )
        old_id = backend.backend_id
        backend.crash()
        backend.fleet.spawn(self._return(backend, old_id))

    async def _return(self, backend, old_id):
        await asyncio.sleep(BACK_AFTER_S)
        backend.backend_id = f"i-{backend.vm}-{random.randrange(16**6):06x}"
        await backend.start()
        backend.fleet.record(f"backend of vm {backend.vm} is back")
        await asyncio.sleep(ENTRY_EXPIRY_S - BACK_AFTER_S)
        await backend.fleet.store.delete(f"servers/{old_id}")


async def send_all(fleet, path, name, interval_s, until_s):
    """Sends the same request again and again, each time as a new attempt."""
    count = 0
    while time.monotonic() < until_s:
        count += 1
        client = standins.Client(fleet, SENDER)
        await client.open()
        await client.request(path, f"{name}{count}")
        client.close()
        await asyncio.sleep(interval_s)


async def roll(fleet, work):
    """Restarts the daemons of the service in turn, once three have crashed."""
    while len(work.crashes) < 3:  # noqa: ASYNC110
        await asyncio.sleep(0.05)
    await asyncio.sleep(STABLE_S + 2.0)
    for _ in range(ROLLS):
        for vm in ROLLED:
            fleet.daemons[vm].signal(signal.SIGTERM)
            await asyncio.sleep(ROLL_GAP_S)
        await asyncio.sleep(ROLLS_GAP_S)


async def case(folder, trouble):
    """Returns whether the rule was broken."""
    services = ["proof", "proof", "proof", "katalog"]
    work = Work()
    fleet = standins.Fleet(folder, services, work)
    try:
        await fleet.start(ROUTES)
        until_s = time.monotonic() + DURATION_S
        if trouble:
            fleet.spawn(roll(fleet, work))
        await asyncio.gather(
            send_all(fleet, "/artwork/a", "a", 0.2, until_s),
            send_all(fleet, "/artwork/poison", "p", POISON_INTERVAL_S, until_s),
        )
        late = []
        if len(work.crashes) >= 3:
            since_s = work.crashes[2][0] + STABLE_S
            late = [crash for crash in work.crashes if crash[0] > since_s]
        fleet.record(
            f"{len(work.crashes)} crashes; {len(late)} retries reached "
            f"backends later than {STABLE_S} s after the third; more than 3 "
            f"break the rule: {[crash[1:] for crash in late]}"
        )
    finally:
        await fleet.stop()
    return len(late) > 3


if __name__ == "__main__":
    standins.main(FOLDER, case)
