"""Faults of a soak, chosen by its seed, in sequence and overlapping."""

import asyncio
import signal
import time
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence

from mimosahaven.testing import forwarder as forwarder_lib
from mimosahaven.testing import processes
from tests.platform import fakestore
from tests.soak import harness as harness_lib
from tests.soak import observations as observations_lib

Fault = Callable[["harness_lib.Harness", int, float], Awaitable[None]]
FAULTS: dict[str, Fault] = {}
# Planned stops, reloads and configuration changes; all others are faults.
PLANNED = {
    "term",
    "hup",
    "table",
    "replace_target",
    "limit_target",
    "odd_entry",
}
FLEET_WIDE = {"store", "store_history", "store_restored"}
OUTAGES = (
    fakestore.Fault.BUSY,
    fakestore.Fault.SILENT,
    fakestore.Fault.RESET,
)
# JSON of a field that makes an entry odd.
ODD_CHANGES = (
    b'"more": ' + b"[" * 20_000 + b"]" * 20_000,
    b'"slots": 18446744073709551616',
    b'"seq": -9223372036854775809',
    b'"address": "10.0.0.1:%b"' % (b"1" * 5_000),
    b'"address": "10.0.0.1:70000"',
    b'"cold_left_s": 1e308',
    b'"born": "yesterday"',
    b"\xff",
)
# Faults that are injected only with a focus on them, so that the seeds of
# earlier soaks still draw the same faults.
FOCUS_ONLY = {"power_loss"}
# Faults that overlap with others of the same VM.
OVERLAPPING = {"limit_target"}


def register(function: Fault) -> Fault:
    """Registers a fault under the name of its function."""
    FAULTS[function.__name__] = function
    return function


@register
async def term(harness, vm, duration_s):
    """Stops a daemon with SIGTERM, sometimes with a second SIGTERM."""
    harness.send_signal(vm, signal.SIGTERM)
    if duration_s > 2:
        await asyncio.sleep(0.3)
        harness.send_signal(vm, signal.SIGTERM)
    await _wait_until_restarted(harness, vm, harness.incarnations[vm])


@register
async def kill(harness, vm, duration_s):
    """Kills a daemon with SIGKILL."""
    incarnation = harness.incarnations[vm]
    harness.send_signal(vm, signal.SIGKILL)
    await _wait_until_restarted(harness, vm, incarnation)


@register
async def power_loss(harness, vm, duration_s):
    """Kills a daemon without a sign on its connections, while work runs.

    It is back before its peers give the connections up.
    """
    target = harness.targets[vm]
    if target is not None:
        target.slow_factor = 40.0
        await asyncio.sleep(duration_s / 3)
    harness.forwarders[vm].discard()
    await kill(harness, vm, duration_s)
    if target is not None:
        target.slow_factor = 1.0


@register
async def term_then_kill(harness, vm, duration_s):
    """Kills a daemon during its planned stop."""
    incarnation = harness.incarnations[vm]
    harness.send_signal(vm, signal.SIGTERM)
    await asyncio.sleep(min(1.5, duration_s / 2))
    harness.send_signal(vm, signal.SIGKILL)
    await _wait_until_restarted(harness, vm, incarnation)


@register
async def hup(harness, vm, duration_s):
    """Makes a daemon reload its settings."""
    harness.send_signal(vm, signal.SIGHUP)


@register
async def pause(harness, vm, duration_s):
    """Pauses a daemon, which resumes with outdated state."""
    harness.send_signal(vm, signal.SIGSTOP)
    try:
        await asyncio.sleep(duration_s)
    finally:
        harness.send_signal(vm, signal.SIGCONT)


@register
async def delay(harness, vm, duration_s):
    """Delays all traffic between a daemon and its peers."""
    harness.forwarders[vm].delay_ms = harness.rng.choice((20, 80, 300))
    try:
        await asyncio.sleep(duration_s)
    finally:
        harness.forwarders[vm].delay_ms = 0.0


@register
async def reset(harness, vm, duration_s):
    """Resets all peer connections to a daemon."""
    harness.forwarders[vm].reset_connections()


@register
async def silence(harness, vm, duration_s):
    """Discards bytes of open peer connections, in one or both directions."""
    direction = harness.rng.choice(list(forwarder_lib.Direction))
    harness.forwarders[vm].discard(direction)
    await asyncio.sleep(duration_s)


@register
async def store_silence(harness, vm, duration_s):
    """Discards all bytes of the open store connections of a daemon."""
    harness.store_forwarders[vm].discard()
    await asyncio.sleep(duration_s)


@register
async def store_cut(harness, vm, duration_s):
    """Cuts several daemons off from the store, often all fleet watchers."""
    rng = harness.rng
    vms = set(
        rng.sample(range(harness.count), rng.randint(0, harness.count // 3))
    )
    if rng.random() < 0.7:
        vms |= harness.fleet_watchers()
    direction = rng.choice(list(forwarder_lib.Direction))
    for other_vm in vms | {vm}:
        harness.store_forwarders[other_vm].cut_directions = direction
    now_s = time.monotonic()
    cuts = [
        observations_lib.Disruption("store_cut", other_vm, False, now_s)
        for other_vm in vms - {vm}
    ]
    harness.observations.disruptions += cuts
    if rng.random() < 0.7:
        await asyncio.sleep(rng.uniform(0, 0.3))
        await harness.put_table()
    try:
        await asyncio.sleep(duration_s + 1.0)
    finally:
        for other_vm in vms | {vm}:
            forwarder = harness.store_forwarders[other_vm]
            forwarder.cut_directions = forwarder_lib.Direction(0)
            # Their discarded bytes are not sent again.
            forwarder.reset_connections()
        for cut in cuts:
            cut.end_s = time.monotonic()


@register
async def odd_entry(harness, vm, duration_s):
    """Lets another writer leave an odd entry among those of the targets."""
    name = f"odd-{harness.rng.randrange(5)}"
    await harness.put_odd_entry(name, harness.rng.choice(ODD_CHANGES))
    await asyncio.sleep(duration_s)


@register
async def store(harness, vm, duration_s):
    """Makes the store busy, silent, or reset its connections."""
    harness.store.fault = harness.rng.choice(OUTAGES)
    try:
        await asyncio.sleep(duration_s)
    finally:
        harness.store.fault = fakestore.Fault.NONE


@register
async def store_history(harness, vm, duration_s):
    """Makes the store discard its change history."""
    harness.store.forget_history()


@register
async def store_restored(harness, vm, duration_s):
    """Restores the store from a copy that is some seconds old, after an outage.

    Now and then this happens twice.
    """
    for _ in range(2 if duration_s > 2.4 else 1):
        harness.store.fault = harness.rng.choice(OUTAGES)
        try:
            await asyncio.sleep(duration_s / 3)
            copied_s = await harness.restore_store(age_s=2 + 2 * duration_s)
        finally:
            harness.store.fault = fakestore.Fault.NONE
        await harness.write_again(copied_s)


@register
async def table(harness, vm, duration_s):
    """Changes the operator configuration once or twice."""
    await harness.put_table()
    if duration_s > 1.5:
        await asyncio.sleep(duration_s / 4)
        await harness.put_table()


@register
async def replace_target(harness, vm, duration_s):
    """Drains a target and starts another one at its address."""
    if harness.targets[vm] is not None:
        await harness.replace_target(vm, listed=duration_s < 2)


@register
async def limit_target(harness, vm, duration_s):
    """Makes a target announce a rate limit, once or twice."""
    target = harness.targets[vm]
    if target is None:
        return
    arrivals = harness.observations.arrivals
    since_s = time.monotonic() - 3
    recent = sum(
        a.target_id == target.target_id and a.at_s > since_s for a in arrivals
    )
    for factor in (0.5, 0.2) if duration_s > 1.5 else (0.5,):
        target.announce_rate_limit(max(1.0, recent / 3 * factor))
        await asyncio.sleep(5 + duration_s)
    target.announce_rate_limit(None)


@register
async def crash_target(harness, vm, duration_s):
    """Crashes a target and restarts it with a new id."""
    if harness.targets[vm] is not None:
        await harness.crash_target(vm)
        await asyncio.sleep(duration_s)
        await harness.start_target(vm)


@register
async def bad_target(harness, vm, duration_s):
    """Makes a target lose, repeat or refuse responses, or run slowly.

    With the largest factor, work lasts until about the deadline.
    """
    target = harness.targets[vm]
    if target is None:
        return
    target.drop_share = harness.rng.choice((0.0, 0.2))
    target.truncate_share = harness.rng.choice((0.0, 0.1))
    target.duplicate_share = harness.rng.choice((0.0, 0.2))
    target.refuse_share = target.copy_share = harness.rng.choice((0.0, 0.4))
    target.slow_factor = harness.rng.choice((1.0, 8.0, 80.0))
    await asyncio.sleep(duration_s)
    target.drop_share = target.truncate_share = target.duplicate_share = 0.0
    target.refuse_share = target.copy_share = 0.0
    target.slow_factor = 1.0


async def _wait_until_restarted(harness, vm, incarnation):
    async def restarted() -> bool:
        return harness.incarnations[vm] != incarnation and (
            harness.accepts_callers(vm)
        )

    await processes.wait_until(restarted, description=f"vm {vm} restarted")


async def run_faults(
    harness: "harness_lib.Harness",
    duration_s: float,
    focus: Sequence[str] = (),
) -> None:
    """Injects faults for a time; faults of different VMs overlap.

    Args:
      harness: The soak.
      duration_s: Time in which faults begin.
      focus: Names of faults that make up half of all.
    """
    rng = harness.rng
    end_s = time.monotonic() + duration_s
    busy_vms: set[int] = set()
    tasks: set[asyncio.Task] = set()

    async def inject(name: str, vm: int, fault_s: float) -> None:
        is_fleet_wide = name in FLEET_WIDE
        disruption = observations_lib.Disruption(
            name,
            None if is_fleet_wide else vm,
            name in PLANNED,
            time.monotonic(),
        )
        harness.observations.disruptions.append(disruption)
        try:
            await FAULTS[name](harness, vm, fault_s)
        finally:
            disruption.end_s = time.monotonic()
            if name not in OVERLAPPING:
                busy_vms.discard(vm)

    while time.monotonic() < end_s:
        in_focus = focus and rng.random() < 0.5
        name = rng.choice(
            sorted(focus if in_focus else FAULTS.keys() - FOCUS_ONLY)
        )
        vm = rng.randrange(harness.count)
        fault_s = rng.uniform(0.3, 3.0)
        if vm not in busy_vms or name in OVERLAPPING:
            if name not in OVERLAPPING:
                busy_vms.add(vm)
            task = asyncio.ensure_future(inject(name, vm, fault_s))
            tasks.add(task)
        await asyncio.sleep(rng.expovariate(1 / 0.8))
    await asyncio.gather(*tasks)
    harness.observations.faults_ended_s = time.monotonic()
