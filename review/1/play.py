"""Machines lose power shortly while their backends run paid orders."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from standins import backend  # noqa: E402
from standins import case  # noqa: E402
from standins import client  # noqa: E402
from standins import machines  # noqa: E402
from standins import record as record_lib  # noqa: E402
from standins import wire  # noqa: E402

HOST = "shop.example"
WORK_S = 1.0
# The machine loses its power this long after the order was sent, and has it
# again after DARK_S.
POWER_LOST_S = 0.4
DARK_S = 0.3
ORDERS = 5
DEADLINE_S = 6.0


def answer_body(request: wire.Message) -> bytes:
    """Returns the body of the answer, which names the request."""
    return f"order {request.header(wire.ATTEMPT)} accepted\n".encode()


async def play(record: record_lib.Record, trouble: bool) -> list[str]:
    """Places orders one after the other; returns how the rule was broken."""
    deployment = machines.Deployment(["shop", "ordre", "ordre"], record)
    servers = [
        backend.Backend(f"i-{number}", record, answer_body, WORK_S)
        for number in range(len(deployment.machines))
    ]
    try:
        for server, machine in zip(servers, deployment.machines, strict=True):
            await server.start(machine.host, deployment.ports["app"])
        routes = [
            machines.Route("order", HOST, "/order/", "non_idempotent", "ordre")
        ]
        entries = {
            server.instance: machine
            for server, machine in zip(
                servers, deployment.machines, strict=True
            )
        }
        await deployment.start(routes, entries)
        for number in range(ORDERS):
            # All daemons know of one another again.
            await asyncio.sleep(4.0)
            await _order(deployment, servers, record, number, trouble)
    finally:
        record.note(f"end of the daemons' output\n{deployment.logs()}")
        deployment.stop()
        for server in servers:
            server.stop()
    return [
        f"TWICE: the non-idempotent request {attempt_id} ran {count} times"
        for (event, attempt_id), count in sorted(record.counts.items())
        if event == "run" and count > 1
    ]


async def _order(
    deployment: machines.Deployment,
    servers: list[backend.Backend],
    record: record_lib.Record,
    number: int,
    trouble: bool,
) -> None:
    attempt_id = f"{number:016x}"
    request = wire.encode_request(
        "POST",
        HOST,
        f"/order/{number}",
        attempt_id,
        int(DEADLINE_S * 1000),
        b"one card",
    )
    shop = deployment.machines[0]
    asked = asyncio.ensure_future(
        client.ask(deployment, shop, record, request, attempt_id, DEADLINE_S)
    )
    await asyncio.sleep(POWER_LOST_S)
    if trouble:
        for server, machine in zip(servers, deployment.machines, strict=True):
            if server.running:
                await _lose_power(deployment, server, machine, record)
    await asked


async def _lose_power(
    deployment: machines.Deployment,
    server: backend.Backend,
    machine: machines.Machine,
    record: record_lib.Record,
) -> None:
    """Takes a machine's power away for a short time.

    Its daemon and its backend end; nothing comes from it, not even a reset.
    """
    record.note(f"{machine.name} loses its power")
    machine.proxy.lose_power()
    deployment.kill(machine)
    server.stop()
    await asyncio.sleep(DARK_S)
    record.note(f"{machine.name} has power again")
    machine.proxy.regain_power()
    await server.start(machine.host, deployment.ports["app"])
    await deployment.put_entry(server.instance, machine)
    deployment.start_daemon(machine)
    await deployment.wait_ready(machine)
    record.note(f"{machine.name}: the daemon is ready")


if __name__ == "__main__":
    case.run(pathlib.Path(__file__).resolve().parent, play)
