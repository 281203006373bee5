"""Answers of peers that a daemon waits for before it is ready."""

from mimosahaven import fleet as fleet_lib
from mimosahaven import messages
from mimosahaven import peersampling
from mimosahaven import settings as settings_lib
from mimosahaven import table as table_lib


class JoinProgress:
    """Digests that peers sent on request.

    Args:
      settings: Settings of the daemon.
      view: View of the fleet.
      store: Table in force.
      peers: Peers of the daemon.

    Attributes:
      requested_ms: Digests that answer an earlier request do not count.
    """

    def __init__(
        self,
        settings: settings_lib.Settings,
        view: fleet_lib.FleetView,
        store: table_lib.TableStore,
        peers: peersampling.PeerSampler,
    ):
        self._settings = settings
        self._view = view
        self._store = store
        self._peers = peers
        self._answered: set[str] = set()
        self._table_version = 0
        self._list_version = 0
        self.requested_ms = 0.0

    @property
    def count(self) -> int:
        """Number of peers that have answered since the start."""
        return len(self._answered)

    def record(self, digest: messages.Digest) -> bool:
        """Records a digest; returns whether it is an answer that counts."""
        if not digest.echo_ms or digest.echo_ms < self.requested_ms:
            return False
        self._answered.add(digest.report.target)
        self._table_version = max(self._table_version, digest.table_version)
        self._list_version = max(self._list_version, digest.list_version)
        return True

    def is_sufficient(self) -> bool:
        """Whether enough peers answered and no newer document is missing."""
        wanted = 0
        if self._settings.mechanisms.gossip:
            known = max(self._peers.count(), len(self._peers.seeds()))
            wanted = min(self._settings.gossip.join_peers, known)
        return (
            self.count >= wanted
            and self._store.version >= max(1, self._table_version)
            and self._view.version >= max(1, self._list_version)
        )
