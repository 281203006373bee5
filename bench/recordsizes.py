"""Memory per record and CPU time per operation, for docs/CAPACITY.md."""

import collections
import json
import random
import time
import tracemalloc

from mimosahaven import actionrecords
from mimosahaven import balancing
from mimosahaven import codes
from mimosahaven import decisions
from mimosahaven import fleet
from mimosahaven import gossip
from mimosahaven import identity
from mimosahaven import ledger
from mimosahaven import messages
from mimosahaven import retrybudget
from mimosahaven import rowlimits
from mimosahaven import settings as settings_lib
from mimosahaven import table
from mimosahaven import watching

RECORDS = 5_000
ROUNDS = 1_000
MEMBERS = 450
DOMAINS = 9
SERVICES = 25
OK = int(codes.Code.OK)
ROWS = 100


def make_settings() -> settings_lib.Settings:
    """Returns the default settings of a target."""
    endpoint = {"host": "127.0.0.1", "port": 1}
    return settings_lib.Settings(
        target=settings_lib.TargetSettings(
            name="service0-1",
            service="service0",
            failure_domain="fd-0",
            endpoint=endpoint,
        ),
        entry=endpoint,
        link=endpoint,
    )


def make_list_text() -> str:
    """Returns a list of VMs of the design size."""
    members = [
        {
            "target": f"service{n % SERVICES}-{n // SERVICES + 1}",
            "service": f"service{n % SERVICES}",
            "failure_domain": f"fd-{n % DOMAINS}",
            "region": f"region-{n % DOMAINS // 3}",
            "host": f"127.0.0.{n % DOMAINS + 1}",
            "entry_port": 10_000 + n,
            "link_port": 20_000 + n,
            "state": "live",
        }
        for n in range(MEMBERS)
    ]
    return json.dumps({"version": 1, "members": members})


def make_table_text() -> str:
    """Returns a table with a hundred rows and all services."""
    rows = [
        {
            "caller": f"caller{n // 4}",
            "kind": f"kind{n % 4}",
            "weight": n,
            "idempotent": n % 2 == 0,
            "deadline_ms": 3_000,
            "retry_budget": 3,
            "rate_limit_per_s": 200,
        }
        for n in range(ROWS)
    ]
    services = {f"service{n}": {} for n in range(SERVICES)}
    return json.dumps({"version": 1, "rows": rows, "services": services})


def measure_bytes(make) -> tuple[float, object]:
    """Returns the memory allocated for the result of `make`, and the result."""
    make()
    tracemalloc.start()
    result = make()
    used_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return used_bytes, result


def measure_us(operation, rounds: int = ROUNDS) -> float:
    """Returns the CPU time of one operation in microseconds."""
    start_s = time.process_time()
    for _ in range(rounds):
        operation()
    return (time.process_time() - start_s) / rounds * 1e6


def make_action_id(number: int) -> identity.ActionId:
    """Returns an action id."""
    return identity.ActionId("service0-1", "1" * 16, 10**12, number)


def make_ledger(settings, tombstones: bool, body_bytes: int):
    """Returns a ledger filled with tombstones or with results."""
    full_ledger = ledger.Ledger(settings)
    for number in range(1, RECORDS + 1):
        call_id = f"{make_action_id(number)}/1.2"
        if tombstones:
            full_ledger.inquire(call_id, 0.0)
            continue
        full_ledger.begin(call_id, 0, False, 0.0)
        result = messages.Result(call_id, 0, OK, 200, [], b"x" * body_bytes)
        full_ledger.finish(call_id, result, 0.0)
    return full_ledger


def make_actions(settings):
    """Returns records of settled actions with response bodies of 100 bytes."""
    records = actionrecords.ActionRecords(settings)
    for number in range(1, RECORDS + 1):
        record = actionrecords.ActionRecord(
            make_action_id(number),
            f"{number:032x}",
            False,
            retrybudget.ChainBudget(3),
            "",
            True,
        )
        records.add(record)
        record.attempt_ref = actionrecords.AttemptRef(
            f"s-{number}", "1" * 16, 0
        )
        result = messages.Result(
            f"{make_action_id(number)}/1", 0, OK, 200, [], b"x" * 100
        )
        records.settle(record, result, actionrecords.RunState.RAN, 10.0**12)
    return records


def make_decisions():
    """Returns decisions like those recorded by the router."""
    return collections.deque(
        decisions.Decision(
            at_ms=number + 0.5,
            part=decisions.Component.ROUTE,
            call_id=f"{make_action_id(number)}/1.2",
            choice=f"to service0-{number}",
            reason="lower score of two",
            weighed=tuple(
                balancing.ScoredTarget(f"service0-{n}", number + 0.1)
                for n in range(2)
            ),
        )
        for number in range(RECORDS)
    )


def make_view():
    """Returns the view of a fleet of the design size, all members ready."""
    view = fleet.FleetView()
    view.apply_list(fleet.parse_list(make_list_text()), 0.0)
    for member in view.members.values():
        report = messages.SelfReport(
            member.target, member.service, "1" * 16, fleet.READY, 2
        )
        view.apply_self_report(report, 0.0)
    return view


def measure() -> dict:
    """Returns all measurements."""
    settings = make_settings()
    result = {}
    for name, make in (
        ("ledger_tombstone", lambda: make_ledger(settings, True, 0)),
        ("ledger_answer_100", lambda: make_ledger(settings, False, 100)),
        ("action_record_answer_100", lambda: make_actions(settings)),
        ("decision", make_decisions),
    ):
        result[f"{name}_bytes"] = measure_bytes(make)[0] / RECORDS
    view_bytes, view = measure_bytes(make_view)
    list_text = make_list_text()
    table_text = make_table_text()
    result["list_text_bytes"] = len(list_text)
    result["view_bytes"] = view_bytes
    result["table_text_bytes"] = len(table_text)
    result["table_bytes"] = measure_bytes(
        lambda: table.parse_table(table_text)
    )[0]
    store = table.TableStore(True)
    store.offer(table_text, "platform", 0.0)
    gossiper = gossip.Gossip(settings, "1" * 16, view, store, random.Random(1))
    digest = gossiper.digest(0.0)
    result["digest_bytes"] = len(messages.encode(digest))
    limiter = rowlimits.RowLimiter(settings, random.Random(1))
    limiter.apply_list(view.members.values(), 0.0)
    limiter.apply_rows(store.table.rows, 0.0)
    now_ms = 2 * settings.gossip.share_settle_ms
    limiter.surplus(now_ms)
    now_ms += 5_000
    gossiper.surplus = limiter.surplus(now_ms)
    result["digest_bytes_with_surplus"] = len(
        messages.encode(gossiper.digest(0.0))
    )
    gossiper.surplus = {}
    result["us"] = {
        "parse_list": measure_us(lambda: fleet.parse_list(list_text), 20),
        "parse_table": measure_us(lambda: table.parse_table(table_text), 3),
        "gossip_round": measure_us(lambda: gossiper.next_round(0.0)),
        "row_surplus": measure_us(lambda: limiter.surplus(now_ms)),
        "row_wanted": measure_us(lambda: limiter.borrow_requests(now_ms)),
        "is_watcher": measure_us(lambda: watching.is_watcher(view, settings)),
        "take_digest": measure_us(
            lambda: gossiper.on_message(digest, "service1-1", 0.0)
        ),
    }
    return result


if __name__ == "__main__":
    print(json.dumps(measure(), indent=1))
