"""Progress of a daemon in joining the fleet, before it is ready."""

from mimosahaven import fleet as fleet_lib
from mimosahaven import messages
from mimosahaven import peersampling
from mimosahaven import settings as settings_lib
from mimosahaven import table as table_lib


class JoinProgress:
    """Counts the requested digests and the newest versions seen in them.

    Args:
      settings: Settings of the daemon.
      fleet_view: View of the fleet.
      store: Table store.
      peer_sampler: Selects the gossip peers of the daemon.

    Attributes:
      requested_ms: Time from which requests count; a digest that replies to an
        earlier request is ignored.
    """

    def __init__(
        self,
        settings: settings_lib.Settings,
        fleet_view: fleet_lib.FleetView,
        store: table_lib.TableStore,
        peer_sampler: peersampling.PeerSampler,
    ):
        self._settings = settings
        self._fleet_view = fleet_view
        self._store = store
        self._peer_sampler = peer_sampler
        self._replied: set[str] = set()
        self._table_version = 0
        self._list_version = 0
        self.requested_ms = 0.0

    @property
    def replied_count(self) -> int:
        """Number of peers that have replied since the start."""
        return len(self._replied)

    def record(self, digest: messages.Digest) -> bool:
        """Records a digest; returns whether it replies to a current request."""
        if not digest.echo_ms or digest.echo_ms < self.requested_ms:
            return False
        self._replied.add(digest.report.target)
        self._table_version = max(self._table_version, digest.table_version)
        self._list_version = max(self._list_version, digest.list_version)
        return True

    def is_sufficient(self) -> bool:
        """Whether enough peers replied and no newer document is missing."""
        required = 0
        if self._settings.mechanisms.gossip:
            known_peer_count = max(
                self._peer_sampler.count(), len(self._peer_sampler.seeds())
            )
            required = min(self._settings.gossip.join_peers, known_peer_count)
        return (
            self.replied_count >= required
            and self._store.version >= max(1, self._table_version)
            and self._fleet_view.version >= max(1, self._list_version)
        )
