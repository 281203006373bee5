"""Selection of a target for an attempt."""

import dataclasses
import enum
import random
from collections.abc import Collection
from collections.abc import Sequence

import xxhash

from mimosahaven import balancing
from mimosahaven import codes
from mimosahaven import ejection
from mimosahaven import fleet as fleet_lib
from mimosahaven import settings as settings_lib

Code = codes.Code

# One place in this many of the subset is kept for other failure domains.
_SPILL_PLACE_ONE_IN = 4
# Results with these codes are made by the sender and report no load.
_UNREPORTED = frozenset(
    {Code.TIMEOUT, Code.LINK_LOST, Code.NO_TARGET, Code.OWNER_LOST}
)


class Reason(enum.Enum):
    """Why a target was chosen, or none."""

    OWN_DOMAIN = "own failure domain"
    FEW_LOCAL = "few targets in own failure domain"
    LOCAL_SHEDS = "own failure domain sheds this priority"
    ALL_SHED = "all targets shed this priority"
    LAST_RESORT = "all targets ejected or out of reach"
    ALL_TRIED = "all targets tried"
    NO_CANDIDATES = "no live target"


@dataclasses.dataclass(slots=True)
class Selection:
    """The outcome of a choice.

    Attributes:
      target: The chosen target, or None.
      scored: The targets that the algorithm compared.
      reason: Why the choice fell this way.
      pool_size: Number of targets that could have been chosen.
    """

    target: fleet_lib.Member | None
    scored: tuple[balancing.ScoredTarget, ...]
    reason: Reason
    pool_size: int

    @property
    def all_shed(self) -> bool:
        """Whether every usable target sheds the priority of the call.

        The chosen target is then the one with the lowest shed threshold; a
        router may refuse a less important call without sending it.
        """
        return self.reason is Reason.ALL_SHED


@dataclasses.dataclass
class _Ranking:
    """The candidates of a service in order of preference."""

    candidates: tuple[fleet_lib.Member, ...]
    states: list[balancing.TargetState]


class TargetSelector:
    """Chooses targets for the attempts of one router."""

    def __init__(self, settings: settings_lib.Settings, rng: random.Random):
        self._own = settings.target
        self._settings = settings.routing
        self._expiry_ms = settings.shedding.expiry_ms
        self._algorithm = balancing.ALGORITHMS[settings.routing.algorithm](
            settings, rng
        )
        self._rankings: dict[str, _Ranking] = {}
        self._states: dict[str, balancing.TargetState] = {}
        self.ejector = ejection.Ejector(settings)

    def select(
        self,
        service: str,
        candidates: Sequence[fleet_lib.Member],
        priority: int,
        tried: Collection[str],
        now_ms: float,
    ) -> Selection:
        """Chooses a target that was not tried yet.

        Args:
          service: Service that is called.
          candidates: Its live targets. The ranking is kept while they stay
            the same.
          priority: Shedding priority of the call.
          tried: Names of targets that earlier attempts went to.
          now_ms: Present time, monotonic.
        """
        if not candidates:
            return Selection(None, (), Reason.NO_CANDIDATES, 0)
        ranking = self._rankings.get(service)
        candidates = tuple(candidates)
        # Members that are the same objects compare by identity, in C.
        if ranking is None or ranking.candidates != candidates:
            ranking = self._rank(service, candidates, now_ms)
        pool, reason = self._pool(ranking.states, priority, tried, now_ms)
        if not pool:
            return Selection(None, (), reason, 0)
        chosen, scored = self._algorithm.pick(service, pool, now_ms)
        return Selection(chosen.member, scored, reason, len(pool))

    def start_attempt(self, target: str, now_ms: float) -> None:
        """Notes that an attempt is sent to a target."""
        del now_ms
        state = self._states.get(target)
        if state is not None:
            state.outstanding += 1

    def finish_attempt(
        self,
        target: str,
        result_code: Code,
        latency_ms: float,
        load: float,
        threshold: int,
        now_ms: float,
    ) -> None:
        """Notes the result of an attempt that was begun.

        Args:
          target: Where the attempt went.
          result_code: Its result.
          latency_ms: Time from send to result.
          load: Load that the guard reported with the result.
          threshold: Shed threshold that the guard reported.
          now_ms: Present time, monotonic.
        """
        state = self._states.get(target)
        if state is None:
            return
        code = Code(result_code)
        state.outstanding = max(0, state.outstanding - 1)
        if code not in _UNREPORTED:
            state.load = load
            state.threshold = threshold
            state.reported_ms = now_ms
        # Refusals and errors are quick; they must not attract calls.
        if code is Code.OK or (
            code is Code.TIMEOUT and latency_ms > (state.latency_ms or 0.0)
        ):
            state.record_latency(latency_ms, now_ms)
        self.ejector.record_result(target, code, now_ms)

    def on_link_up(self, target: str, now_ms: float) -> None:
        """Notes that the link to a target is up."""
        self.ejector.record_link_up(target, now_ms)

    def on_link_lost(self, target: str, now_ms: float) -> None:
        """Notes that the link to a target is lost."""
        self.ejector.record_link_lost(target, now_ms)

    def states(self) -> list[balancing.TargetState]:
        """Returns what is known of each target."""
        return list(self._states.values())

    def _rank(
        self,
        service: str,
        candidates: tuple[fleet_lib.Member, ...],
        now_ms: float,
    ) -> _Ranking:
        names = [member.target for member in candidates]
        records = self.ejector.set_targets(service, names, now_ms)
        old = self._rankings.get(service)
        for state in old.states if old else ():
            if state.member.target not in records:
                self._states.pop(state.member.target, None)
        for member in candidates:
            state = self._states.get(member.target)
            if state is None or state.health is not records[member.target]:
                local = member.failure_domain == self._own.failure_domain
                self._states[member.target] = balancing.TargetState(
                    member, records[member.target], local
                )
            else:
                state.member = member
        ranking = _Ranking(
            candidates,
            [self._states[m.target] for m in self._order(candidates)],
        )
        self._rankings[service] = ranking
        return ranking

    def _order(
        self, candidates: tuple[fleet_lib.Member, ...]
    ) -> list[fleet_lib.Member]:
        """Orders by failure domain, region and rendezvous hash."""
        own = self._own

        def key(member: fleet_lib.Member) -> tuple[bool, int]:
            text = f"{own.name}\0{member.target}".encode()
            return member.region != own.region, -xxhash.xxh3_64_intdigest(text)

        ordered = sorted(candidates, key=key)
        local = [m for m in ordered if m.failure_domain == own.failure_domain]
        other = [m for m in ordered if m.failure_domain != own.failure_domain]
        spill = min(
            len(other), self._settings.subset_size // _SPILL_PLACE_ONE_IN
        )
        first = self._settings.subset_size - spill
        return local[:first] + other[:spill] + local[first:] + other[spill:]

    def _pool(
        self,
        states: list[balancing.TargetState],
        priority: int,
        tried: Collection[str],
        now_ms: float,
    ) -> tuple[list[balancing.TargetState], Reason]:
        """Returns the targets that may be chosen, and why these."""
        usable: list[balancing.TargetState] = []
        local: list[balancing.TargetState] = []
        shedding: list[balancing.TargetState] = []
        local_sheds = False
        places = self._settings.subset_size
        for state in states:
            record = state.health
            # TargetHealth.is_unavailable() inlined for speed: this loop takes
            # most of the time of a selection.
            if (
                now_ms < record.ejected_until_ms
                or now_ms < record.unreachable_until_ms
            ):
                continue
            places -= 1
            if tried and state.member.target in tried:
                pass
            elif state.threshold and priority < self._threshold(state, now_ms):
                shedding.append(state)
                local_sheds = local_sheds or state.local
            else:
                usable.append(state)
                if state.local:
                    local.append(state)
            if not places:
                break
        if len(local) >= self._settings.local_min:
            return local, Reason.OWN_DOMAIN
        if usable:
            reason = Reason.LOCAL_SHEDS if local_sheds else Reason.FEW_LOCAL
            return usable, reason
        if shedding:
            lowest = min(shedding, key=lambda s: self._threshold(s, now_ms))
            return [lowest], Reason.ALL_SHED
        return _last_resort(states, tried)

    def _threshold(self, state: balancing.TargetState, now_ms: float) -> float:
        """Returns the shed threshold as far as it has not expired."""
        fresh = 1.0 - (now_ms - state.reported_ms) / self._expiry_ms
        return state.threshold * fresh


def _last_resort(
    states: list[balancing.TargetState], tried: Collection[str]
) -> tuple[list[balancing.TargetState], Reason]:
    fresh = [s for s in states if s.member.target not in tried]
    if not fresh:
        return [], Reason.ALL_TRIED
    soonest = min(fresh, key=lambda s: s.health.unavailable_until_ms())
    return [soonest], Reason.LAST_RESORT
