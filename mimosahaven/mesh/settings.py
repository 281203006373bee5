"""Settings of a mesh daemon, read from JSON with comments.

The models are msgspec structs and not pydantic models: a daemon runs on each
VM, and importing pydantic and building its models takes 8 MB of memory.
"""

import pathlib
import typing
from typing import Annotated
from typing import Any

import msgspec

from mimosahaven import errors
from mimosahaven import tabletext
from mimosahaven.mesh import records

PositiveMs = Annotated[float, msgspec.Meta(gt=0, le=3_600_000)]
PositiveS = Annotated[float, msgspec.Meta(gt=0, le=3_600)]
NotNegative = Annotated[float, msgspec.Meta(ge=0)]
Ratio = Annotated[float, msgspec.Meta(ge=0, le=1)]
Count = Annotated[int, msgspec.Meta(ge=1, le=10_000_000)]
# 0 stands for no port.
OptionalPort = Annotated[int, msgspec.Meta(ge=0, le=65_535)]


class SettingsStruct(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Base class of the sections of the settings."""


class Address(SettingsStruct):
    """An IPv4 address and a port, written as "IP:PORT" or as two fields."""

    host: str
    port: records.Port

    def __post_init__(self):
        records.require_ipv4(self.host)


class HeaderNames(SettingsStruct):
    """Names of the HTTP headers that the mesh reads and sets.

    Attributes:
      rate_limit: In responses of a target: requests per second that it accepts
        from all daemons together. Responses without it lift the limit.
      leaving: In responses of a target that accepts no new work: 1.
    """

    attempt_id: str = "Mimosahaven-Attempt"
    deadline_ms: str = "Mimosahaven-Deadline-Ms"
    signature: str = "Mimosahaven-Signature"
    target_id: str = "Mimosahaven-Target"
    not_run: str = "Mimosahaven-Not-Run"
    caller: str = "Mimosahaven-Caller"
    rate_limit: str = "Mimosahaven-Rate-Limit"
    leaving: str = "Mimosahaven-Leaving"


class ListenSettings(SettingsStruct):
    """Addresses on which the daemon listens.

    Attributes:
      callers: For callers and for calls made by the local target.
      peers: For other daemons; the port is the same on all VMs.
      readiness: For the platform's readiness check.
      readiness_path: Path of the readiness check.
      metrics_port: Port of the metrics endpoint; 0 disables it.
    """

    callers: Address
    peers: Address
    readiness: Address
    readiness_path: str = "/readiness"
    metrics_port: OptionalPort = 0


class BoundSettings(SettingsStruct):
    """Bounds that the platform's operators guarantee or require.

    Attributes:
      grace_s: Time from SIGTERM to SIGKILL.
      drain_s: Time for which a target goes on serving after it has reported
        that it leaves.
      apply_s: Time within which a change of the routes must be in force.
      stable_s: Time after a disturbance from which on the bounds hold again.
      heartbeat_s: Interval at which targets renew their entries in the list.
      resend_ratio: Retries allowed per request of a service, over all daemons.
      resend_window_s: Window over which the ratio is computed.
      resend_slack: Retries allowed in addition to the ratio, over all daemons.
    """

    grace_s: PositiveS = 6.0
    drain_s: PositiveS = 2.0
    apply_s: PositiveS = 2.0
    stable_s: PositiveS = 3.0
    heartbeat_s: PositiveS = 1.5
    resend_ratio: Ratio = 0.2
    resend_window_s: PositiveS = 10.0
    resend_slack: NotNegative = 40.0


class PeerSettings(SettingsStruct):
    """Connections between daemons.

    Attributes:
      connect_timeout_ms: Timeout for opening a connection; on a broken network
        path, packets are lost without an error.
      confirm_ms: Time after which a peer confirms a run still in progress.
      accept_timeout_ms: Timeout for the first reply to a run. A round trip
        takes a few ms; the rest allows for a busy or briefly paused peer.
      proof_timeout_ms: Timeout of the ping that precedes an at-most-once run.
      ping_ms: Interval of the further confirmations.
      silence_ms: Time without a confirmation after which a connection is
        considered lost; allows for several late confirmations.
      idle_ms: Time after which an idle connection is closed.
      probe_ms: Interval of pings to an unreachable peer.
    """

    connect_timeout_ms: PositiveMs = 400
    confirm_ms: PositiveMs = 150
    accept_timeout_ms: PositiveMs = 600
    proof_timeout_ms: PositiveMs = 300
    ping_ms: PositiveMs = 400
    silence_ms: PositiveMs = 1_500
    idle_ms: PositiveMs = 20_000
    probe_ms: PositiveMs = 500


class StoreSettings(SettingsStruct):
    """Reads and watches of the platform's store.

    Attributes:
      endpoint: Address of the store.
      watch_gap_ms: Delay after a change before the next watch, so that one
        watch returns several changes. A change must be in force within 2 s.
      standby_gap_ms: The same delay for a standby watcher.
      watch_min_ms: Longest watch that is used where the platform's bounds leave
        less time.
      check_interval_ms: Time without a response after which a watcher checks
        whether the store responds. A watcher that does not notice that it has
        lost the store holds back the daemons that would take over.
      response_timeout_ms: Timeout for a response of a store that has responded
        at least twice as fast lately; it rises with slower responses, up to
        read_timeout_ms.
      read_timeout_ms: Longest timeout for a response, in addition to the watch
        timeout.
      retry_ms: Delay after an error; it doubles up to retry_max_ms.
      retry_max_ms: Longest delay after an error.
    """

    endpoint: Address
    watch_gap_ms: PositiveMs = 100
    standby_gap_ms: PositiveMs = 400
    watch_min_ms: PositiveMs = 500
    check_interval_ms: PositiveMs = 400
    response_timeout_ms: PositiveMs = 400
    read_timeout_ms: PositiveMs = 1_500
    retry_ms: PositiveMs = 150
    retry_max_ms: PositiveMs = 800


class SheddingSettings(SettingsStruct):
    """Thresholds of other services, as known to this daemon.

    Attributes:
      expiry_ms: Time after which a received threshold expires.
      probe_one_in: One in this many shed requests is let through.
    """

    expiry_ms: PositiveMs = 1_000
    probe_one_in: Count = 50


class PauseSettings(SettingsStruct):
    """Detection of pauses of the daemon's process.

    Attributes:
      gap_ms: Gap between events that counts as a pause.
      backlog_ms: Time after a pause when requests of callers are refused.
      refresh_wait_ms: Longest refusal of new runs after a pause.
    """

    gap_ms: PositiveMs = 1_000
    backlog_ms: PositiveMs = 200
    refresh_wait_ms: PositiveMs = 500


class MechanismSettings(SettingsStruct):
    """Switches that turn off single mechanisms, for differential tests."""

    shed_at_entry: bool = True
    pause_detector: bool = True


class MeshSettings(SettingsStruct, forbid_unknown_fields=False):
    """All settings of one mesh daemon.

    Attributes:
      vm: Name of the VM.
      failure_domain: Failure domain of the VM.
      service: Service of the local target.
      target: Address of the local target.
      slots_default: Slots of the local target until the target list is known.
      seeds: Peers to ask for routes and targets while the store is unavailable.
    """

    vm: str
    failure_domain: str
    service: str
    target: Address
    listen: ListenSettings
    store: StoreSettings
    seeds: tuple[Address, ...] = ()
    slots_default: Count = 8
    headers: HeaderNames = HeaderNames()
    bounds: BoundSettings = BoundSettings()
    peers: PeerSettings = PeerSettings()
    shedding: SheddingSettings = SheddingSettings()
    pause: PauseSettings = PauseSettings()
    mechanisms: MechanismSettings = MechanismSettings()


def load(path: pathlib.Path) -> MeshSettings:
    """Reads and validates a settings file.

    Raises:
      SettingsError: The file cannot be read or is invalid.
    """
    try:
        raw = tabletext.parse_document(path.read_text())
        return convert(raw, MeshSettings)
    except (OSError, ValueError) as error:
        raise errors.SettingsError([f"{path}: {error}"]) from error
    except errors.SettingsError as error:
        faults = [f"{path}: {fault}" for fault in error.faults]
        raise errors.SettingsError(faults) from error


def convert(raw: Any, model: type[SettingsStruct]) -> Any:
    """Validates a decoded document and returns it as a settings struct.

    Raises:
      SettingsError: The document is invalid; the error has all faults.
    """
    faults: list[str] = []
    settings = _convert_section(raw, model, "", faults)
    if faults:
        raise errors.SettingsError(faults)
    return settings


def _convert_section(
    raw: Any, model: type[SettingsStruct], path: str, faults: list[str]
) -> SettingsStruct | None:
    if model is Address and isinstance(raw, str):
        host, _, port = raw.rpartition(":")
        raw = {"host": host, "port": int(port) if port.isdecimal() else port}
    if not isinstance(raw, dict):
        faults.append(f"{path or '(document)'}: {raw!r}: not an object")
        return None
    known_faults = len(faults)
    prefix = f"{path}." if path else ""
    fields = msgspec.structs.fields(model)
    values = {}
    for field in fields:
        if field.name in raw:
            values[field.name] = _convert_value(
                raw[field.name], field.type, prefix + field.name, faults
            )
        elif field.required:
            faults.append(f"{prefix}{field.name}: missing")
    if model.__struct_config__.forbid_unknown_fields:
        for name in sorted(raw.keys() - {field.name for field in fields}):
            faults.append(f"{prefix}{name}: unknown field")
    if len(faults) > known_faults:
        return None
    try:
        return model(**values)
    except ValueError as error:
        faults.append(f"{path}: {error}")
        return None


def _convert_value(
    raw: Any, value_type: Any, path: str, faults: list[str]
) -> Any:
    if isinstance(value_type, type) and issubclass(value_type, SettingsStruct):
        return _convert_section(raw, value_type, path, faults)
    if typing.get_origin(value_type) is tuple and isinstance(raw, list | tuple):
        item_type = typing.get_args(value_type)[0]
        return tuple(
            _convert_value(item, item_type, f"{path}.{index}", faults)
            for index, item in enumerate(raw)
        )
    try:
        return msgspec.convert(raw, value_type)
    except msgspec.ValidationError as error:
        faults.append(f"{path}: {raw!r}: {error}")
        return None


class SettingsFile:
    """A settings file that may change while the daemon runs."""

    def __init__(self, path: pathlib.Path):
        self._path = path
        self._mtime_ns = self._modified_ns()

    def has_changed(self) -> bool:
        """Returns whether the file has changed since the last read."""
        return self._modified_ns() != self._mtime_ns

    def read(self) -> MeshSettings:
        """Reads the file again.

        Raises:
          SettingsError: The file cannot be read or is invalid.
        """
        self._mtime_ns = self._modified_ns()
        return load(self._path)

    def _modified_ns(self) -> int:
        try:
            return self._path.stat().st_mtime_ns
        except OSError:
            # The platform may be replacing the file. Once it exists again, its
            # modification time differs from 0 and it is read.
            return 0
