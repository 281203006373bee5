"""Faults of a soak, drawn from its seed; they come in series and overlap."""

import asyncio
import signal
import time
from collections.abc import Awaitable
from collections.abc import Callable

from mimosahaven.testing import forwarder as forwarder_lib
from mimosahaven.testing import processes
from tests.platform import fakestore
from tests.soak import harness as harness_lib
from tests.soak import observations as observations_lib

Fault = Callable[["harness_lib.Harness", int, float], Awaitable[None]]
FAULTS: dict[str, Fault] = {}
# Stops, reloads and changes of operators; all else is a fault.
PLANNED = {"term", "hup", "table", "replace_target"}
FLEET_WIDE = {"store", "store_history"}


def register(function: Fault) -> Fault:
    """Enters a fault under the name of its function."""
    FAULTS[function.__name__] = function
    return function


@register
async def term(harness, vm, for_s):
    """Stops a daemon as planned; twice in a row at times."""
    harness.send_signal(vm, signal.SIGTERM)
    if for_s > 2:
        await asyncio.sleep(0.3)
        harness.send_signal(vm, signal.SIGTERM)
    await _wait_until_restarted(harness, vm, harness.incarnations[vm])


@register
async def kill(harness, vm, for_s):
    """Kills a daemon."""
    incarnation = harness.incarnations[vm]
    harness.send_signal(vm, signal.SIGKILL)
    await _wait_until_restarted(harness, vm, incarnation)


@register
async def term_then_kill(harness, vm, for_s):
    """Kills a daemon that is stopping."""
    incarnation = harness.incarnations[vm]
    harness.send_signal(vm, signal.SIGTERM)
    await asyncio.sleep(min(1.5, for_s / 2))
    harness.send_signal(vm, signal.SIGKILL)
    await _wait_until_restarted(harness, vm, incarnation)


@register
async def hup(harness, vm, for_s):
    """Lets a daemon read its settings again."""
    harness.send_signal(vm, signal.SIGHUP)


@register
async def pause(harness, vm, for_s):
    """Stops a process for a while; it acts on what it last knew after."""
    harness.send_signal(vm, signal.SIGSTOP)
    try:
        await asyncio.sleep(for_s)
    finally:
        harness.send_signal(vm, signal.SIGCONT)


@register
async def delay(harness, vm, for_s):
    """Delays all bytes between a daemon and its peers."""
    harness.forwarders[vm].delay_ms = harness.rng.choice((20, 80, 300))
    try:
        await asyncio.sleep(for_s)
    finally:
        harness.forwarders[vm].delay_ms = 0.0


@register
async def reset(harness, vm, for_s):
    """Resets all connections of peers to a daemon."""
    harness.forwarders[vm].reset_connections()


@register
async def silence(harness, vm, for_s):
    """Open connections fall silent for good, in one direction or both."""
    direction = harness.rng.choice(list(forwarder_lib.Direction))
    harness.forwarders[vm].discard(direction)
    await asyncio.sleep(for_s)


@register
async def store_silence(harness, vm, for_s):
    """The connection of a daemon to the store falls silent for good."""
    harness.store_forwarders[vm].discard()
    await asyncio.sleep(for_s)


@register
async def store(harness, vm, for_s):
    """The store is down, in one of several ways."""
    harness.store.fault = harness.rng.choice(
        (
            fakestore.Fault.BUSY,
            fakestore.Fault.SILENT,
            fakestore.Fault.RESET,
        )
    )
    try:
        await asyncio.sleep(for_s)
    finally:
        harness.store.fault = fakestore.Fault.NONE


@register
async def store_history(harness, vm, for_s):
    """The store forgets its history."""
    harness.store.forget_history()


@register
async def table(harness, vm, for_s):
    """The operators change the configuration, at times twice."""
    await harness.put_table()
    if for_s > 1.5:
        await asyncio.sleep(for_s / 4)
        await harness.put_table()


@register
async def replace_target(harness, vm, for_s):
    """A target leaves, and another one takes its address."""
    if harness.targets[vm] is not None:
        await harness.replace_target(vm)


@register
async def crash_target(harness, vm, for_s):
    """A target crashes and is back under a new identity."""
    if harness.targets[vm] is not None:
        await harness.crash_target(vm)
        await asyncio.sleep(for_s)
        await harness.start_target(vm)


@register
async def bad_target(harness, vm, for_s):
    """A target loses, breaks off or doubles answers, or is slow."""
    target = harness.targets[vm]
    if target is None:
        return
    target.drop_share = harness.rng.choice((0.0, 0.2))
    target.truncate_share = harness.rng.choice((0.0, 0.1))
    target.duplicate_share = harness.rng.choice((0.0, 0.2))
    target.slow_factor = harness.rng.choice((1.0, 8.0))
    await asyncio.sleep(for_s)
    target.drop_share = target.truncate_share = target.duplicate_share = 0.0
    target.slow_factor = 1.0


async def _wait_until_restarted(harness, vm, incarnation):
    async def restarted() -> bool:
        return harness.incarnations[vm] != incarnation and (
            harness.accepts_callers(vm)
        )

    await processes.wait_until(restarted, description=f"vm {vm} restarted")


async def run_faults(harness: "harness_lib.Harness", for_s: float) -> None:
    """Plays faults for a time; several are at work at once."""
    rng = harness.rng
    end_s = time.monotonic() + for_s
    busy: set[int] = set()
    running: set[asyncio.Task] = set()

    async def inject(name: str, vm: int, length_s: float) -> None:
        is_fleet_wide = name in FLEET_WIDE
        disruption = observations_lib.Disruption(
            name,
            None if is_fleet_wide else vm,
            name in PLANNED,
            time.monotonic(),
        )
        harness.observations.disruptions.append(disruption)
        try:
            await FAULTS[name](harness, vm, length_s)
        finally:
            disruption.end_s = time.monotonic()
            busy.discard(vm)

    while time.monotonic() < end_s:
        name = rng.choice(sorted(FAULTS))
        vm = rng.randrange(harness.count)
        length_s = rng.uniform(0.3, 3.0)
        if vm not in busy:
            busy.add(vm)
            task = asyncio.ensure_future(inject(name, vm, length_s))
            running.add(task)
        await asyncio.sleep(rng.expovariate(1 / 0.8))
    await asyncio.gather(*running)
    harness.observations.faults_ended_s = time.monotonic()
