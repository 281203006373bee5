"""Settings of a daemon, read from JSON with comments."""

import ipaddress
import pathlib
from typing import Annotated
from typing import Literal

import json5
import pydantic

from mimosahaven import errors


def _check_ip_address(value: str) -> str:
    ipaddress.ip_address(value)
    return value


IpAddress = Annotated[str, pydantic.AfterValidator(_check_ip_address)]
Port = Annotated[int, pydantic.Field(ge=1, le=65535)]
PositiveMs = Annotated[float, pydantic.Field(gt=0, le=3_600_000)]
Count = Annotated[int, pydantic.Field(ge=1, le=10_000_000)]
Bytes = Annotated[int, pydantic.Field(ge=1, le=1_073_741_824)]


class SettingsModel(pydantic.BaseModel):
    """Base class of the settings models; unknown fields are refused."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class Endpoint(SettingsModel):
    """An IP address and a port."""

    host: IpAddress
    port: Port


class TargetSettings(SettingsModel):
    """The local target and its location."""

    name: Annotated[str, pydantic.Field(pattern=r"^[A-Za-z0-9_-]{1,64}$")]
    service: Annotated[str, pydantic.Field(pattern=r"^[a-z0-9_-]{1,64}$")]
    failure_domain: str
    region: str = ""
    endpoint: Endpoint
    slots: Count = 100
    connections: Count = 700


class AdmissionSettings(SettingsModel):
    """Admission control at the guard."""

    algorithm: str = "aimd"
    queue_factor: Annotated[float, pydantic.Field(ge=0, le=10)] = 1.0
    queue_wait_target_ms: PositiveMs = 20
    # With a long mean service time, a wait of this share of it is not overload:
    # such waits also occur by chance below the capacity.
    queue_wait_service_share: Annotated[float, pydantic.Field(ge=0, le=1)] = 0.5
    cold_limit_share: Annotated[float, pydantic.Field(gt=0, le=1)] = 0.2
    slow_start_ms: PositiveMs = 5_000
    reserve_share_max: Annotated[float, pydantic.Field(ge=0, le=1)] = 0.5


class SheddingSettings(SettingsModel):
    """Shed threshold of the guard, and its copies at upstream daemons."""

    window_ms: PositiveMs = 100
    expiry_ms: PositiveMs = 1_000
    probe_one_in: Count = 50


class RowLimitSettings(SettingsModel):
    """Token buckets of the row limits.

    Attributes:
      burst_ms: Capacity of a bucket, as the time in which it fills.
      ask_interval_ms: Time between two rounds of requests to peers.
      ask_fanout: Requests for tokens in one round, over all rows.
      ask_again_ms: Time before the same peer is asked again.
      ahead_ms: Time ahead for which a daemon keeps or borrows tokens.
      keep_borrowed_ms: Time after which borrowed tokens above the burst
        capacity expire.
    """

    burst_ms: PositiveMs = 1_000
    ask_interval_ms: PositiveMs = 100
    ask_fanout: Count = 4
    ask_again_ms: PositiveMs = 400
    ahead_ms: PositiveMs = 300
    keep_borrowed_ms: PositiveMs = 1_000


class LedgerSettings(SettingsModel):
    """Ledger of calls that ran or were barred."""

    action_window_ms: PositiveMs = 120_000
    records_max: Count = 50_000
    answer_bytes_max: Bytes = 16_777_216
    key_view_max_age_ms: PositiveMs = 10_000
    # Longest time by which a list read from the platform may be out of date.
    list_lag_ms: PositiveMs = 5_000
    # Records of the actions that this daemon owns; idempotent actions use at
    # most half of them.
    action_records_max: Count = 30_000
    action_answer_bytes_max: Bytes = 8_388_608


class RetrySettings(SettingsModel):
    """Retry ratio, a limit in addition to the retry budget of the row."""

    ratio: Annotated[float, pydantic.Field(ge=0, le=1)] = 0.1
    per_s_min: Annotated[float, pydantic.Field(ge=0)] = 1.0
    window_ms: PositiveMs = 10_000


class RoutingSettings(SettingsModel):
    """Selection of targets, and their ejection."""

    algorithm: str = "two_choices"
    subset_size: Count = 8
    local_min: Count = 2
    ejection_failures: Count = 5
    ejection_ms: PositiveMs = 1_000
    ejection_max_ms: PositiveMs = 30_000
    slow_start_ms: PositiveMs = 5_000


class LinkSettings(SettingsModel):
    """Links between daemons."""

    heartbeat_ms: PositiveMs = 500
    silence_ms: PositiveMs = 1_200
    idle_ms: PositiveMs = 5_000
    close_ms: PositiveMs = 20_000
    high_water_messages: Count = 10_000


class GossipSettings(SettingsModel):
    """Gossip between daemons and reads of the platform."""

    interval_ms: PositiveMs = 500
    push_fanout: Count = 4
    watchers_per_domain: Count = 2
    watcher_silence_ms: PositiveMs = 3_000
    contact_max_age_ms: PositiveMs = 2_000
    reads_per_s_per_domain: Annotated[float, pydantic.Field(gt=0)] = 20
    # If a watch waits longer than contact_max_age_ms, the contact of a healthy
    # watcher appears too old, so every daemon reads the platform itself.
    watch_wait_ms: PositiveMs = 1_000
    read_timeout_ms: PositiveMs = 1_000
    retry_ms: PositiveMs = 1_000
    join_wait_ms: PositiveMs = 1_000
    join_peers: Count = 3
    # Larger documents are announced, and sent on request: with 4 unsolicited
    # pushes, each daemon would get 5 copies of a list of 450 VMs (75 KB).
    push_bytes_max: Count = 4_096
    request_timeout_ms: PositiveMs = 300
    news_max: Count = 8
    news_sends: Count = 8
    news_keep_ms: PositiveMs = 300_000
    share_settle_ms: PositiveMs = 10_000


class PauseSettings(SettingsModel):
    """Detection of pauses of the daemon's process."""

    gap_ms: PositiveMs = 1_000
    tick_ms: PositiveMs = 100
    backlog_ms: PositiveMs = 200
    refresh_wait_ms: PositiveMs = 500


class QuarantineSettings(SettingsModel):
    """Quarantine of requests that crash targets."""

    hold_ms: PositiveMs = 600_000
    # As long as hold_ms: a shorter time allows one crash in each such period.
    suspect_ms: PositiveMs = 600_000
    success_ms: PositiveMs = 60_000
    successes_max: Count = 10_000
    cases_max: Count = 10_000


class LogSettings(SettingsModel):
    """Decision log on standard error."""

    format: Literal["text", "json"] = "text"
    level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"
    kept_decisions: Count = 20_000


class MetricsSettings(SettingsModel):
    """Statsd metrics; without an endpoint none are sent."""

    endpoint: Endpoint | None = None
    prefix: str = "mimosahaven"
    interval_ms: PositiveMs = 1_000


class MechanismSettings(SettingsModel):
    """Switches that turn off single mechanisms, for differential tests."""

    admission: bool = True
    shed_at_entry: bool = True
    reserve: bool = True
    chain_budget: bool = True
    inquire: bool = True
    ledger: bool = True
    key_settling: bool = True
    incarnation_check: bool = True
    clock_skew: bool = True
    pause_detector: bool = True
    heartbeat: bool = True
    quarantine: bool = True
    ejection: bool = True
    gossip: bool = True
    table_order: bool = True
    row_limits: bool = True
    drain: bool = True
    whole_answers: bool = True


class Settings(SettingsModel):
    """All settings of one daemon."""

    target: TargetSettings
    entry: Endpoint
    link: Endpoint
    platform: Endpoint | None = None
    seeds: list[Endpoint] = []
    max_body_bytes: Bytes = 8_388_608
    drain_ms: PositiveMs = 30_000
    seed: int | None = None
    admission: AdmissionSettings = AdmissionSettings()
    shedding: SheddingSettings = SheddingSettings()
    row_limits: RowLimitSettings = RowLimitSettings()
    ledger: LedgerSettings = LedgerSettings()
    retry: RetrySettings = RetrySettings()
    routing: RoutingSettings = RoutingSettings()
    links: LinkSettings = LinkSettings()
    gossip: GossipSettings = GossipSettings()
    pause: PauseSettings = PauseSettings()
    quarantine: QuarantineSettings = QuarantineSettings()
    log: LogSettings = LogSettings()
    metrics: MetricsSettings = MetricsSettings()
    mechanisms: MechanismSettings = MechanismSettings()


def parse(text: str, file_name: str) -> Settings:
    """Parses and checks the text of a settings file.

    Args:
      text: JSON with comments.
      file_name: File name for error messages.

    Raises:
      SettingsError: The text is not JSON, or a field is not allowed.
    """
    try:
        raw = json5.loads(text)
    except (ValueError, RecursionError) as error:
        raise errors.SettingsError([f"{file_name}: {error}"]) from error
    try:
        return Settings.model_validate(raw)
    except pydantic.ValidationError as error:
        raise errors.SettingsError(
            [_format_fault(file_name, fault) for fault in error.errors()]
        ) from error


def _format_fault(file_name: str, fault) -> str:
    field = ".".join(str(step) for step in fault["loc"]) or "(document)"
    return f"{file_name}: {field}: {fault['input']!r}: {fault['msg']}"


def load(path: pathlib.Path) -> Settings:
    """Reads a settings file.

    Raises:
      SettingsError: The file cannot be read or its content is not allowed.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        raise errors.SettingsError([f"{path}: {error.strerror}"]) from error
    return parse(text, str(path))
