"""Writes route tables and targets to the fake store in the platform's format.

Stands in for the operators and the targets, which write to the real store.
"""

from mimosahaven.mesh import records
from tests.platform import fakestore

# Environment variable with the path of the settings file for the program in
# platform/.
SETTINGS_VARIABLE = "MIMOSAHAVEN_SETTINGS"
_TABLE_KEY = "op/config"
_COLUMNS = (
    "name",
    "host",
    "prefix",
    "kind",
    "timeout_s",
    "slo_s",
    "priority",
    "max_attempts",
    "service",
)
_KINDS = {
    records.RepeatRule.IDEMPOTENT: "idempotent",
    records.RepeatRule.ONCE: "non_idempotent",
    records.RepeatRule.DOWNLOAD: "download",
}
_STATES = {
    records.SERVING_STATE: "ready",
    records.DRAINING_STATE: "draining",
}


async def put_table(
    store: fakestore.FakeStore, table: records.RouteTable
) -> None:
    """Writes a configuration; every route must have exactly one share."""
    limits = table.limits
    await store.put(
        _TABLE_KEY,
        {
            "version": f"{table.version:08x}",
            "routes": {
                "columns": list(_COLUMNS),
                "rows": [_encode_route(route) for route in table.routes],
            },
            "services": {"columns": ["name"], "rows": []},
            "limits": {
                "max_header_bytes": limits.header_bytes_max,
                "max_body_bytes": limits.body_bytes_max,
                "header_timeout_s": limits.header_timeout_ms / 1000,
                "idle_timeout_s": limits.idle_timeout_ms / 1000,
            },
        },
    )


def _encode_route(route: records.Route) -> list[object]:
    return [
        route.name,
        route.host,
        route.prefix,
        _KINDS[route.repeat_rule],
        route.timeout_ms / 1000,
        route.objective_ms / 1000,
        route.rank,
        route.targets_max,
        route.shares[0].service,
    ]


async def put_target(
    store: fakestore.FakeStore, target: records.Target
) -> None:
    """Writes a target's entry."""
    await store.put(
        _target_key(target.target_id),
        {
            "service": target.service,
            "address": f"{target.host}:{target.port}",
            "zone": target.failure_domain,
            "version": "v1",
            "slots": target.slots,
            "state": _STATES[target.state],
            "cold_left_s": target.cold_ms / 1000,
            "seq": target.sequence or 1,
            "born": target.started_unix_ms or 1_700_000_000_000,
        },
    )


async def remove_target(store: fakestore.FakeStore, target_id: str) -> None:
    """Removes a target's entry."""
    await store.delete(_target_key(target_id))


def _target_key(target_id: str) -> str:
    return f"servers/{target_id}"
