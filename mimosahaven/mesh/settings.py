"""Settings of a mesh daemon, read from a JSON5 file."""

import pathlib
from typing import Annotated

import pydantic

from mimosahaven import settings as settings_lib
from mimosahaven import tabletext

SettingsModel = settings_lib.SettingsModel
PositiveMs = settings_lib.PositiveMs
PositiveS = Annotated[float, pydantic.Field(gt=0, le=3_600)]
Ratio = Annotated[float, pydantic.Field(ge=0, le=1)]


def _parse_address(value: object) -> object:
    if not isinstance(value, str):
        return value
    host, _, port = value.rpartition(":")
    return {"host": host, "port": port}


# An address may be written as "IP:PORT".
Address = Annotated[
    settings_lib.Endpoint, pydantic.BeforeValidator(_parse_address)
]


class HeaderNames(SettingsModel):
    """Names of the HTTP headers that the mesh reads and sets."""

    attempt_id: str = "Mimosahaven-Attempt"
    deadline_ms: str = "Mimosahaven-Deadline-Ms"
    signature: str = "Mimosahaven-Signature"
    target_id: str = "Mimosahaven-Target"
    not_run: str = "Mimosahaven-Not-Run"
    caller: str = "Mimosahaven-Caller"


class ListenSettings(SettingsModel):
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
    metrics_port: Annotated[int, pydantic.Field(ge=0, le=65535)] = 0


class BoundSettings(SettingsModel):
    """Bounds that the platform's operators guarantee or require.

    Attributes:
      grace_s: Time from SIGTERM to SIGKILL.
      resend_ratio: Retries allowed per request of a service, over all daemons.
      resend_window_s: Window over which the ratio is computed.
      resend_slack: Retries allowed in addition to the ratio, over all daemons.
    """

    grace_s: PositiveS = 6.0
    resend_ratio: Ratio = 0.2
    resend_window_s: PositiveS = 10.0
    resend_slack: Annotated[float, pydantic.Field(ge=0)] = 40.0


class PeerSettings(SettingsModel):
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


class StoreSettings(SettingsModel):
    """Reads and watches of the platform's store.

    Attributes:
      endpoint: Address of the store.
      watches_per_s: Watches per second that time out without a change, over
        all daemons. The store may fail to report changes; the first daemon
        whose watch times out then informs its peers.
      watch_gap_ms: Delay after a change before the next watch, so that one
        watch returns several changes. A change must be in force within 2 s.
      standby_gap_ms: The same delay for a standby watcher.
      watch_min_ms: Lower bound of the mean watch timeout.
      watch_max_ms: Upper bound of the mean watch timeout.
      read_timeout_ms: Timeout for a response, in addition to the watch timeout.
      retry_ms: Delay after an error; it doubles up to retry_max_ms.
      retry_max_ms: Longest delay after an error.
    """

    endpoint: Address
    watches_per_s: Annotated[float, pydantic.Field(gt=0)] = 8.0
    watch_gap_ms: PositiveMs = 100
    standby_gap_ms: PositiveMs = 400
    watch_min_ms: PositiveMs = 500
    watch_max_ms: PositiveMs = 12_000
    read_timeout_ms: PositiveMs = 1_500
    retry_ms: PositiveMs = 150
    retry_max_ms: PositiveMs = 800


class MeshSettings(SettingsModel):
    """All settings of one mesh daemon.

    Attributes:
      vm: Name of the VM.
      failure_domain: Failure domain of the VM.
      service: Service of the local target.
      target: Address of the local target.
      slots_default: Slots of the local target until the target list is known.
      seeds: Peers to ask for routes and targets while the store is unavailable.
    """

    model_config = pydantic.ConfigDict(extra="ignore", frozen=True)

    vm: str
    failure_domain: str
    service: str
    target: Address
    listen: ListenSettings
    store: StoreSettings
    seeds: tuple[Address, ...] = ()
    slots_default: settings_lib.Count = 8
    headers: HeaderNames = HeaderNames()
    bounds: BoundSettings = BoundSettings()
    peers: PeerSettings = PeerSettings()
    shedding: settings_lib.SheddingSettings = settings_lib.SheddingSettings()
    pause: settings_lib.PauseSettings = settings_lib.PauseSettings()
    mechanisms: settings_lib.MechanismSettings = (
        settings_lib.MechanismSettings()
    )
    log: settings_lib.LogSettings = settings_lib.LogSettings(format="json")


def load(path: pathlib.Path) -> MeshSettings:
    """Reads and validates a settings file.

    Raises:
      SettingsError: The file cannot be read or is invalid.
    """
    try:
        raw = tabletext.parse_document(path.read_text())
        return MeshSettings.model_validate(raw)
    except OSError as error:
        raise settings_lib.SettingsError([f"{path}: {error}"]) from error
    except pydantic.ValidationError as error:
        faults = [
            f"{path}: {'.'.join(map(str, fault['loc']))}: {fault['msg']}"
            for fault in error.errors()
        ]
        raise settings_lib.SettingsError(faults) from error
    except ValueError as error:
        raise settings_lib.SettingsError([f"{path}: {error}"]) from error


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
