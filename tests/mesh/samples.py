"""Factories for records and frames that several tests of the mesh use."""

from mimosahaven.mesh import frames
from mimosahaven.mesh import records


def route(name="r", host="a.example", prefix="/x/", **changes):
    values = {
        "name": name,
        "host": host,
        "prefix": prefix,
        "repeat_rule": records.RepeatRule.IDEMPOTENT,
        "timeout_ms": 1000.0,
        "objective_ms": 1500.0,
        "rank": 2,
        "targets_max": 2,
        "shares": (records.Share("katalog", 1.0),),
    }
    return records.Route(**(values | changes))


def table(*routes, version=1):
    return records.RouteTable(version=version, routes=routes)


def target(target_id="i-1", host="10.0.0.1", **changes):
    values = {
        "target_id": target_id,
        "service": "katalog",
        "host": host,
        "port": 80,
        "failure_domain": "a",
        "slots": 10,
        "state": records.SERVING_STATE,
        "revision": 1,
    }
    return records.Target(**(values | changes))


def load(running=0, waiting=0, limit=10, mean_ms=50.0, **changes):
    values = {
        "threshold": 0,
        "thresholds": {},
        "table_version": 1,
        "list_revision": 1,
    }
    return frames.Load(
        running=running,
        waiting=waiting,
        limit=limit,
        mean_ms=mean_ms,
        **(values | changes),
    )
