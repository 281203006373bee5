"""A backend is emptied and taken away while requests queue for it."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from standins import backend  # noqa: E402
from standins import case  # noqa: E402
from standins import client  # noqa: E402
from standins import machines  # noqa: E402
from standins import record as record_lib  # noqa: E402
from standins import wire  # noqa: E402

HOST = "shop.example"
WORK_S = 1.3
SLOTS = 20
REQUESTS = 110
DEADLINE_S = 8.0
# The backend reports `draining` this long after the requests were sent, and
# goes on serving for DRAIN_S and a little longer.
DRAIN_AT_S = 0.2
DRAIN_S = machines.BOUNDS["drain_s"]
LONGER_S = 1.0
ROUNDS = 3


def answer_body(request: wire.Message) -> bytes:
    """Returns the body of the answer, which names the request."""
    return f"order {request.header(wire.ATTEMPT)} accepted\n".encode()


async def play(record: record_lib.Record, trouble: bool) -> list[str]:
    """Empties a backend under load; returns how the rule was broken."""
    deployment = machines.Deployment(["shop", "ordre", "ordre"], record, SLOTS)
    servers = [
        backend.Backend(f"i-{number}", record, answer_body, WORK_S)
        for number in range(len(deployment.machines))
    ]
    faults: list[str] = []
    try:
        for server, machine in zip(servers, deployment.machines, strict=True):
            await server.start(machine.host, deployment.ports["app"])
        routes = [
            machines.Route(
                "order", HOST, "/order/", "non_idempotent", "ordre", DEADLINE_S
            )
        ]
        entries = {
            server.instance: machine
            for server, machine in zip(
                servers, deployment.machines, strict=True
            )
        }
        await deployment.start(routes, entries)
        for number in range(ROUNDS):
            # Longer than `stable_s` without anything happening.
            await asyncio.sleep(5.0)
            leaving = servers[1 + number % 2]
            faults += await _round(deployment, leaving, record, number, trouble)
    finally:
        record.note(f"end of the daemons' output\n{deployment.logs()}")
        deployment.stop()
        for server in servers:
            server.stop()
    return faults


async def _round(
    deployment: machines.Deployment,
    leaving: backend.Backend,
    record: record_lib.Record,
    number: int,
    trouble: bool,
) -> list[str]:
    shop = deployment.machines[0]
    asked = []
    for count in range(REQUESTS):
        attempt_id = f"{number:08x}{count:08x}"
        request = wire.encode_request(
            "POST",
            HOST,
            f"/order/{number}/{count}",
            attempt_id,
            int(DEADLINE_S * 1000),
            b"one card",
        )
        asked.append(
            asyncio.ensure_future(
                client.ask(
                    deployment, shop, record, request, attempt_id, DEADLINE_S
                )
            )
        )
    await asyncio.sleep(DRAIN_AT_S)
    machine = next(
        machine
        for server_number, machine in enumerate(deployment.machines)
        if leaving.instance == f"i-{server_number}"
    )
    bound_s = float("inf")
    if trouble:
        leaving.leaving = True
        await deployment.put_entry(leaving.instance, machine, "draining")
        bound_s = time.monotonic() + DRAIN_S
        record.note(f"the store has acknowledged: {leaving.instance} drains")
        await asyncio.sleep(DRAIN_S + LONGER_S)
        record.note(f"{leaving.instance} ends")
        leaving.stop()
        await deployment.remove_entry(leaving.instance)
    answers = await asyncio.gather(*asked)
    late = [
        (at_s - bound_s, attempt_id)
        for at_s, place, attempt_id in record.runs
        if place == leaving.instance and at_s > bound_s
    ]
    lost = sum(answer is None or answer.status >= 500 for answer in answers)
    record.note(f"{len(late)} late at {leaving.instance}, {lost} failed")
    if trouble:
        leaving.leaving = False
        await leaving.start(machine.host, deployment.ports["app"])
        await deployment.put_entry(leaving.instance, machine)
    return [
        f"DRAIN: {attempt_id} reached {leaving.instance} {over_s:.3f} s after "
        f"drain_s had passed since the acknowledgement"
        for over_s, attempt_id in late
    ]


if __name__ == "__main__":
    case.run(pathlib.Path(__file__).resolve().parent, play)
