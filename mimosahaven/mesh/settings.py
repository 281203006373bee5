"""Settings of a mesh daemon, read from JSON with comments."""

import pathlib
from typing import Annotated

import pydantic

from mimosahaven import settings as settings_lib
from mimosahaven import tabletext

SettingsModel = settings_lib.SettingsModel
PositiveMs = settings_lib.PositiveMs
PositiveS = Annotated[float, pydantic.Field(gt=0, le=3_600)]
Ratio = Annotated[float, pydantic.Field(ge=0, le=1)]


def _split_address(value: object) -> object:
    if not isinstance(value, str):
        return value
    host, _, port = value.rpartition(":")
    return {"host": host, "port": port}


# An address may be written as "IP:PORT".
Address = Annotated[
    settings_lib.Endpoint, pydantic.BeforeValidator(_split_address)
]


class HeaderNames(SettingsModel):
    """Names of the headers that carry the mesh's own fields."""

    attempt_id: str = "Mimosahaven-Attempt"
    deadline_ms: str = "Mimosahaven-Deadline-Ms"
    signature: str = "Mimosahaven-Signature"
    target_id: str = "Mimosahaven-Target"
    not_run: str = "Mimosahaven-Not-Run"
    caller: str = "Mimosahaven-Caller"


class ListenSettings(SettingsModel):
    """Addresses that the daemon serves.

    Attributes:
      callers: For callers and for the calls of the local target.
      peers: For other daemons; the port is the same on all VMs.
      readiness: For the platform's question whether callers may come.
      readiness_path: Path of that question.
      metrics_port: Port of the metrics; 0 for none.
    """

    callers: Address
    peers: Address
    readiness: Address
    readiness_path: str = "/readiness"
    metrics_port: Annotated[int, pydantic.Field(ge=0, le=65535)] = 0


class BoundSettings(SettingsModel):
    """What the operators of the platform promise or ask for.

    Attributes:
      grace_s: Time from SIGTERM to SIGKILL.
      resend_ratio: Repeats allowed for each request of a service, over all
        daemons.
      resend_window_s: Window of this ratio.
      resend_slack: Repeats allowed beside the ratio, over all daemons.
    """

    grace_s: PositiveS = 6.0
    resend_ratio: Ratio = 0.2
    resend_window_s: PositiveS = 10.0
    resend_slack: Annotated[float, pydantic.Field(ge=0)] = 40.0


class PeerSettings(SettingsModel):
    """Connections between daemons.

    Attributes:
      connect_timeout_ms: Time to open a connection; a cut path gives none.
      confirm_ms: Time after which a peer confirms a run that has not ended.
      accept_timeout_ms: Time until a peer confirms or ends a run. A round trip
        takes a few ms; the rest allows for a busy or briefly stopped peer.
      proof_timeout_ms: Time for a peer to answer before it is sent a run that
        may happen only once.
      ping_ms: Interval of signs of life while a run is in progress.
      silence_ms: Time without any sign of life after which a connection is
        taken for lost; several pings may be late.
      idle_ms: Time after which an idle connection is closed.
      probe_ms: Interval of pings to a peer that cannot be reached.
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
    """Reads of the platform's store.

    Attributes:
      endpoint: Its address.
      watches_per_s: Watches that end without news in a second, over all
        daemons. The store may stay silent about changes; the first daemon
        whose watch ends then tells its peers.
      watch_gap_ms: Pause after news, so that one call takes what follows. A
        change must be in force within 2 s.
      standby_gap_ms: The same for a watcher that stands by for another one.
      watch_min_ms: Shortest mean wait of a watch.
      watch_max_ms: Longest mean wait of a watch.
      read_timeout_ms: Time for an answer beyond the wait.
      retry_ms: Pause after an error; it doubles up to retry_max_ms.
      retry_max_ms: Longest pause.
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
      failure_domain: Where it stands.
      service: Service of the local target.
      target: Address of the local target.
      slots_default: Slots of the local target until the list names them.
      seeds: Peers that may know routes and targets while the store is away.
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
    """Reads and checks a settings file.

    Raises:
      SettingsError: The file cannot be read, or has faults.
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
    """A settings file that may change at any time."""

    def __init__(self, path: pathlib.Path):
        self._path = path
        self._mtime_ns = self._modified_ns()

    def has_changed(self) -> bool:
        """Returns whether the file has changed since it was read."""
        return self._modified_ns() != self._mtime_ns

    def read(self) -> MeshSettings:
        """Reads the file again.

        Raises:
          SettingsError: It cannot be read, or has faults.
        """
        self._mtime_ns = self._modified_ns()
        return load(self._path)

    def _modified_ns(self) -> int:
        try:
            return self._path.stat().st_mtime_ns
        except OSError:
            # The platform may be replacing the file; it is read when it is
            # back, since its time then differs from 0.
            return 0
