"""Generates the settings reference in the documentation from the models."""

import pathlib
import typing
from collections.abc import Iterator

import click
import pydantic
from pydantic import fields as pydantic_fields

from mimosahaven import settings as settings_lib

BEGIN_MARKER = "<!-- settings: begin -->"
END_MARKER = "<!-- settings: end -->"

_UNITS = (("bytes", "bytes"), ("per_s", "1/s"), ("_ms", "ms"))
_BOUNDS = (("gt", "> "), ("ge", ">= "), ("lt", "< "), ("le", "<= "))

# Descriptions of the settings, by their dotted path.
DESCRIPTIONS = {
    "target.name": "Name of the local target, unique in the fleet.",
    "target.service": "Service that the target belongs to.",
    "target.failure_domain": "Failure domain of the VM.",
    "target.region": "Region of the VM.",
    "target.endpoint.host": "IP address of the target.",
    "target.endpoint.port": "Port of the target.",
    "target.slots": "Calls that the target can run at once.",
    "target.connections": "Connections that the target accepts.",
    "entry.host": "IP address of the entry (HTTP).",
    "entry.port": "Port of the entry.",
    "link.host": "IP address for links from other daemons.",
    "link.port": "Port for links.",
    "platform": "Configuration service (`host` and `port`); unset means none.",
    "seeds": "Links (`host` and `port`) of daemons to contact at startup.",
    "max_body_bytes": "Largest body of a request or a response.",
    "drain_ms": "Longest wait for calls in flight on a planned stop.",
    "seed": "Seed of the random choices; unset means a random one.",
    "admission.algorithm": "Algorithm of the concurrency limit.",
    "admission.queue_factor": "Queue length as a multiple of the limit.",
    "admission.queue_wait_target_ms": "Queue wait that counts as overload.",
    "admission.cold_limit_share": "Share of `slots` a cold target starts at.",
    "admission.slow_start_ms": "Time over which a cold target's limit rises.",
    "admission.reserve_share_max": "Largest share reserved for important rows.",
    "admission.queue_wait_service_share": (
        "Queue wait that counts as overload, as a share of the service time."
    ),
    "row_limits.burst_ms": "Time that a full bucket of tokens lasts.",
    "row_limits.ask_interval_ms": "Interval between requests for tokens.",
    "row_limits.ask_fanout": "Peers that are asked for tokens in one round.",
    "row_limits.ask_again_ms": "Time before the same peer is asked again.",
    "row_limits.ahead_ms": "Time ahead for which tokens are kept or borrowed.",
    "row_limits.keep_borrowed_ms": "Time after which borrowed tokens expire.",
    "shedding.window_ms": "Interval between changes of the shed threshold.",
    "shedding.expiry_ms": "Time after which a received threshold expires.",
    "shedding.probe_one_in": "One in this many shed calls is let through.",
    "ledger.action_window_ms": "How long an action id stays valid.",
    "ledger.records_max": "Largest number of records.",
    "ledger.answer_bytes_max": "Memory for kept responses.",
    "ledger.key_view_max_age_ms": "Oldest list with which keys are accepted.",
    "ledger.list_lag_ms": "Longest time that a list is behind the platform.",
    "ledger.action_records_max": "Largest number of actions at their owner.",
    "ledger.action_answer_bytes_max": "Memory for the responses of actions.",
    "retry.ratio": "Retries per first attempt, for each service and daemon.",
    "retry.per_s_min": "Retries allowed in addition to the ratio.",
    "retry.window_ms": "Time over which the ratio is measured.",
    "routing.algorithm": "Algorithm that chooses a target.",
    "routing.subset_size": "Targets of a service that a daemon uses.",
    "routing.local_min": "Usable local targets below which calls spill over.",
    "routing.ejection_failures": "Consecutive failures that eject a target.",
    "routing.ejection_ms": "First ejection time; each further one doubles it.",
    "routing.ejection_max_ms": "Longest ejection.",
    "routing.slow_start_ms": "Time over which a returning target's load rises.",
    "links.heartbeat_ms": "Interval of heartbeats on links in use.",
    "links.silence_ms": "Silence after which a link is replaced.",
    "links.idle_ms": "Time without calls after which heartbeats stop.",
    "links.close_ms": "Time without use after which a link is closed.",
    "links.high_water_messages": "Messages queued on a link before it is full.",
    "gossip.join_peers": "Peers that a starting daemon contacts.",
    "gossip.push_bytes_max": "Largest document pushed without a request.",
    "gossip.request_timeout_ms": "Time until a document is requested again.",
    "gossip.news_keep_ms": "How long an update is passed on.",
    "gossip.news_max": "Largest number of updates in a digest.",
    "gossip.news_sends": "How often a daemon passes on each update.",
    "gossip.read_timeout_ms": "Longest time for one read of the platform.",
    "gossip.retry_ms": "Delay after a failed read of the platform.",
    "gossip.interval_ms": "Interval of digests.",
    "gossip.push_fanout": "Peers that a new table or list is sent to at once.",
    "gossip.watchers_per_domain": "Daemons per domain that watch the platform.",
    "gossip.watcher_silence_ms": "Silence of watchers before others read.",
    "gossip.contact_max_age_ms": "Age up to which a platform contact is fresh.",
    "gossip.reads_per_s_per_domain": "Most platform reads by non-watchers.",
    "gossip.watch_wait_ms": "Longest wait of one watch.",
    "gossip.join_wait_ms": "Longest wait for peers' versions at startup.",
    "gossip.share_settle_ms": "Time before a new daemon uses its row shares.",
    "pause.gap_ms": "Gap between events that counts as a pause.",
    "pause.tick_ms": "Interval of the timer behind the detector.",
    "pause.backlog_ms": "Time after a pause when HTTP requests are refused.",
    "pause.refresh_wait_ms": "Longest refusal of new calls after a pause.",
    "quarantine.success_ms": "How long a success counts for a fingerprint.",
    "quarantine.successes_max": "Largest number of remembered successes.",
    "quarantine.cases_max": "Largest number of fingerprints with strikes.",
    "quarantine.hold_ms": "Time that a fingerprint stays in quarantine.",
    "quarantine.suspect_ms": "Time that one strike counts.",
    "log.format": "Format of the log lines on standard error.",
    "log.level": "Lowest level that is logged.",
    "log.kept_decisions": "Decisions retained for `mimosahaven-explain`.",
    "metrics.endpoint": "Statsd server (`host` and `port`); unset means none.",
    "metrics.prefix": "First part of the metric names.",
    "metrics.interval_ms": "Interval between sends.",
    "mechanisms.key_settling": "Refusal of keys whose owner may have changed.",
    "mechanisms.admission": "Admission control at the guard.",
    "mechanisms.shed_at_entry": "Shedding at the entry.",
    "mechanisms.reserve": "Reserve for important rows.",
    "mechanisms.chain_budget": "Retry budget for the whole call chain.",
    "mechanisms.inquire": "Inquiry after unknown outcomes.",
    "mechanisms.ledger": "Ledger of calls at the guard.",
    "mechanisms.incarnation_check": "Check of the incarnation a call is for.",
    "mechanisms.clock_skew": "Subtraction of time spent in buffers.",
    "mechanisms.pause_detector": "Detection of pauses of the daemon's process.",
    "mechanisms.heartbeat": "Heartbeats on links.",
    "mechanisms.quarantine": "Quarantine of requests that crash targets.",
    "mechanisms.ejection": "Ejection of failing targets.",
    "mechanisms.gossip": "Gossip between daemons.",
    "mechanisms.table_order": "Refusal of older and conflicting tables.",
    "mechanisms.row_limits": "Rate limits of rows.",
    "mechanisms.drain": "Drain on a planned stop.",
    "mechanisms.whole_answers": "Refusal of truncated responses.",
}


def reference_lines(
    model: type[pydantic.BaseModel] = settings_lib.Settings,
) -> list[str]:
    """Returns the lines of the settings table in docs/OPERATIONS.md."""
    lines = [
        "| Setting | Default | Unit | Allowed | Meaning |",
        "|---|---|---|---|---|",
    ]
    for path, field in _walk_fields(model, ""):
        description = field.description or DESCRIPTIONS.get(path, "")
        lines.append(
            f"| `{path}` | {_format_default(field)} | {_unit_of(path, field)} "
            f"| {_format_bounds(field)} | {description} |"
        )
    return lines


def update_document(text: str) -> str:
    """Returns the text of a document with the settings table updated.

    Raises:
      ValueError: The document lacks the markers around the table.
    """
    head, begin, rest = text.partition(BEGIN_MARKER)
    _, end, tail = rest.partition(END_MARKER)
    if not begin or not end:
        raise ValueError(
            f"{BEGIN_MARKER} is missing or not before {END_MARKER}"
        )
    table = "\n".join(reference_lines())
    return f"{head}{BEGIN_MARKER}\n{table}\n{END_MARKER}{tail}"


def _walk_fields(
    model: type[pydantic.BaseModel], prefix: str
) -> Iterator[tuple[str, pydantic_fields.FieldInfo]]:
    for name, field in model.model_fields.items():
        section = _section_model(field)
        # A section with its own description may be unset; it gets one line.
        if section is not None and prefix + name not in DESCRIPTIONS:
            yield from _walk_fields(section, f"{prefix}{name}.")
        else:
            yield prefix + name, field


def _section_model(
    field: pydantic_fields.FieldInfo,
) -> type[pydantic.BaseModel] | None:
    for annotation in (field.annotation, *typing.get_args(field.annotation)):
        if isinstance(annotation, type) and issubclass(
            annotation, pydantic.BaseModel
        ):
            return annotation
    return None


def _format_default(field: pydantic_fields.FieldInfo) -> str:
    if field.is_required():
        return "required"
    value = field.default
    if value is None:
        return "unset"
    if isinstance(value, bool):
        return "on" if value else "off"
    if isinstance(value, str):
        return f"`{value}`" if value else "empty"
    return f"{value:,}" if isinstance(value, int | float) else "empty"


def _unit_of(path: str, field: pydantic_fields.FieldInfo) -> str:
    name = path.rpartition(".")[2]
    for suffix, unit in _UNITS:
        if suffix in name:
            return unit
    types = {field.annotation, *typing.get_args(field.annotation)}
    if bool in types:
        return "switch"
    if float in types:
        return "ratio"
    return "number" if int in types else "text"


def _format_bounds(field: pydantic_fields.FieldInfo) -> str:
    if typing.get_origin(field.annotation) is typing.Literal:
        return ", ".join(f"`{v}`" for v in typing.get_args(field.annotation))
    bounds = [
        f"{sign}{getattr(item, name):,}"
        for name, sign in _BOUNDS
        for item in field.metadata
        if getattr(item, name, None) is not None
    ]
    return ", ".join(bounds)


@click.command()
@click.argument(
    "document",
    type=click.Path(exists=True, dir_okay=False, path_type=pathlib.Path),
    default="docs/OPERATIONS.md",
)
def main(document: pathlib.Path) -> None:
    """Updates the settings table in DOCUMENT.

    Example: python -m mimosahaven.settingsdoc docs/OPERATIONS.md
    """
    text = document.read_text(encoding="utf-8")
    document.write_text(update_document(text), encoding="utf-8")


if __name__ == "__main__":
    main()
