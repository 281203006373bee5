"""Choice of the daemons to gossip with."""

import random

from mimosahaven import fleet as fleet_lib
from mimosahaven import settings as settings_lib


class PeerSampler:
    """Random live daemons of the view, other than the own one.

    Args:
      settings: Settings of the daemon.
      view: View of the fleet.
      rng: Source of the choice.
    """

    def __init__(
        self,
        settings: settings_lib.Settings,
        view: fleet_lib.FleetView,
        rng: random.Random,
    ):
        self._settings = settings
        self._own = settings.target
        self._view = view
        self._rng = rng

    def sample_for_round(self) -> list[fleet_lib.Member]:
        """Returns one daemon of the own failure domain and one of any."""
        near = self._choose(self._view.daemons(self._own.failure_domain), 1)
        anywhere = [peer for peer in self.sample(2) if peer not in near]
        return near + anywhere[:1]

    def sample(self, count: int) -> list[fleet_lib.Member]:
        """Returns up to `count` daemons of all failure domains."""
        everyone = [
            member
            for domain in self._view.failure_domains()
            for member in self._view.daemons(domain)
        ]
        return self._choose(everyone, count)

    def count(self) -> int:
        """Returns the number of listed daemons other than the own one."""
        return len(self._view.members.keys() - {self._own.name})

    def seeds(self) -> list[fleet_lib.Member]:
        """Returns the seeds as members, without the own endpoint."""
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

    def _choose(
        self, members: list[fleet_lib.Member], count: int
    ) -> list[fleet_lib.Member]:
        # One more, in case that the own daemon is among them.
        chosen = self._rng.sample(members, min(count + 1, len(members)))
        others = [peer for peer in chosen if peer.target != self._own.name]
        return others[:count]
