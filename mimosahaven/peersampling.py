"""Random selection of the daemons to gossip with."""

import random

from mimosahaven import fleet as fleet_lib
from mimosahaven import settings as settings_lib


class PeerSampler:
    """Selects random live daemons, excluding this one.

    Args:
      settings: Settings of the daemon.
      fleet_view: View of the fleet.
      rng: Random source.
    """

    def __init__(
        self,
        settings: settings_lib.Settings,
        fleet_view: fleet_lib.FleetView,
        rng: random.Random,
    ):
        self._settings = settings
        self._local_target = settings.target
        self._fleet_view = fleet_view
        self._rng = rng

    def sample_for_round(self) -> list[fleet_lib.Member]:
        """Returns one daemon of the local failure domain and one of any."""
        same_domain = self._sample_from(
            self._fleet_view.daemons(self._local_target.failure_domain), 1
        )
        any_domain = [
            peer for peer in self.sample(2) if peer not in same_domain
        ]
        return same_domain + any_domain[:1]

    def sample(self, count: int) -> list[fleet_lib.Member]:
        """Returns up to `count` daemons of any failure domain."""
        live_daemons = [
            member
            for domain in self._fleet_view.failure_domains()
            for member in self._fleet_view.daemons(domain)
        ]
        return self._sample_from(live_daemons, count)

    def count(self) -> int:
        """Returns the number of listed daemons other than this one."""
        return len(self._fleet_view.members.keys() - {self._local_target.name})

    def seeds(self) -> list[fleet_lib.Member]:
        """Returns the seeds as members, without this daemon's endpoint."""
        return [
            fleet_lib.Member(
                f"{seed.host}:{seed.port}",
                service="",
                failure_domain="",
                region="",
                host=seed.host,
                entry_port=0,
                link_port=seed.port,
            )
            for seed in self._settings.seeds
            if seed != self._settings.link
        ]

    def _sample_from(
        self, members: list[fleet_lib.Member], count: int
    ) -> list[fleet_lib.Member]:
        # Samples one more, because this daemon may be among them.
        sampled = self._rng.sample(members, min(count + 1, len(members)))
        others = [
            peer for peer in sampled if peer.target != self._local_target.name
        ]
        return others[:count]
