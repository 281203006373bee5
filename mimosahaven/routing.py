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

# One in this many places of the subset is reserved for targets in other
# failure domains. The subset is the first subset_size available targets in this
# daemon's order of preference; it sends calls only to these.
_SPILL_PLACE_ONE_IN = 4
# Results with these codes are produced by the sender; they have no load report.
_CODES_WITHOUT_REPORT = frozenset(
    {Code.TIMEOUT, Code.LINK_LOST, Code.NO_TARGET, Code.OWNER_LOST}
)


class Reason(enum.Enum):
    """Why a target, or none, was selected."""

    OWN_DOMAIN = "own failure domain"
    FEW_LOCAL = "few targets in own failure domain"
    LOCAL_SHEDS = "own failure domain sheds this priority"
    ALL_SHED = "all targets shed this priority"
    LAST_RESORT = "all targets ejected or out of reach"
    ALL_TRIED = "all targets tried"
    NO_CANDIDATES = "no live target"


@dataclasses.dataclass(slots=True)
class Selection:
    """Result of the selection of a target.

    Attributes:
      target: The selected target, or None.
      scored: The targets that the algorithm compared.
      reason: Reason of the selection.
      pool_size: Number of targets that could have been selected.
    """

    target: fleet_lib.Member | None
    scored: tuple[balancing.ScoredTarget, ...]
    reason: Reason
    pool_size: int

    @property
    def all_shed(self) -> bool:
        """Whether every usable target sheds the priority of the call.

        The selected target is then the one with the lowest shed threshold. A
        router may refuse an ordinary call without sending it.
        """
        return self.reason is Reason.ALL_SHED


@dataclasses.dataclass
class _Ranking:
    """Ranking of the targets of a service.

    Attributes:
      candidates: The targets as given to TargetSelector.select().
      states: Their states in order of preference.
    """

    candidates: tuple[fleet_lib.Member, ...]
    states: list[balancing.TargetState]


class TargetSelector:
    """Selects targets for the attempts of one router."""

    def __init__(self, settings: settings_lib.Settings, rng: random.Random):
        self._local_target = settings.target
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
        """Selects a target that has not been tried yet.

        Args:
          service: Service that is called.
          candidates: Its live targets. The ranking is reused as long as they
            are the same.
          priority: Shedding priority of the call.
          tried: Names of the targets of earlier attempts.
          now_ms: Current time on the monotonic clock.
        """
        if not candidates:
            return Selection(None, (), Reason.NO_CANDIDATES, 0)
        ranking = self._rankings.get(service)
        candidates = tuple(candidates)
        # Cheap: the comparison, in C, first checks the identity of members.
        if ranking is None or ranking.candidates != candidates:
            ranking = self._rank(service, candidates, now_ms)
        pool, reason = self._select_pool(
            ranking.states, priority, tried, now_ms
        )
        if not pool:
            return Selection(None, (), reason, 0)
        chosen, scored = self._algorithm.pick(service, pool, now_ms)
        return Selection(chosen.member, scored, reason, len(pool))

    def start_attempt(self, target: str, now_ms: float) -> None:
        """Records that an attempt is sent to a target."""
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
        """Records the result of an attempt.

        Args:
          target: Target of the attempt.
          result_code: Result code of the attempt.
          latency_ms: Time from send to result.
          load: Load that the guard reported with the result.
          threshold: Shed threshold that the guard reported.
          now_ms: Current time on the monotonic clock.
        """
        state = self._states.get(target)
        if state is None:
            return
        code = Code(result_code)
        state.outstanding = max(0, state.outstanding - 1)
        if code not in _CODES_WITHOUT_REPORT:
            state.load = load
            state.threshold = threshold
            state.reported_ms = now_ms
        # The latencies of refusals and errors are ignored: they are often low
        # and would attract calls. That of a timeout is only a lower bound, so
        # it is used only if it raises the average.
        if code is Code.OK or (
            code is Code.TIMEOUT and latency_ms > (state.latency_ms or 0.0)
        ):
            state.record_latency(latency_ms, now_ms)
        self.ejector.record_result(target, code, now_ms)

    def on_link_up(self, target: str, now_ms: float) -> None:
        """Ends the backoff of a target whose link is up."""
        self.ejector.record_link_up(target, now_ms)

    def on_link_lost(self, target: str, now_ms: float) -> None:
        """Starts a backoff of a target whose link is lost."""
        self.ejector.record_link_lost(target, now_ms)

    def states(self) -> list[balancing.TargetState]:
        """Returns the state of each known target."""
        return list(self._states.values())

    def _rank(
        self,
        service: str,
        candidates: tuple[fleet_lib.Member, ...],
        now_ms: float,
    ) -> _Ranking:
        names = [member.target for member in candidates]
        ejection_states = self.ejector.set_targets(service, names, now_ms)
        previous = self._rankings.get(service)
        for state in previous.states if previous else ():
            if state.member.target not in ejection_states:
                self._states.pop(state.member.target, None)
        for member in candidates:
            state = self._states.get(member.target)
            if (
                state is None
                or state.ejection_state is not ejection_states[member.target]
            ):
                local = (
                    member.failure_domain == self._local_target.failure_domain
                )
                self._states[member.target] = balancing.TargetState(
                    member, ejection_states[member.target], local
                )
            else:
                state.member = member
        ranking = _Ranking(
            candidates,
            [
                self._states[m.target]
                for m in self._order_by_preference(candidates)
            ],
        )
        self._rankings[service] = ranking
        return ranking

    def _order_by_preference(
        self, candidates: tuple[fleet_lib.Member, ...]
    ) -> list[fleet_lib.Member]:
        """Orders targets by failure domain, region and rendezvous hash.

        Of the first subset_size places, one in _SPILL_PLACE_ONE_IN is reserved
        for targets in other failure domains.
        """
        local_target = self._local_target

        def key(member: fleet_lib.Member) -> tuple[bool, int]:
            text = f"{local_target.name}\0{member.target}".encode()
            return (
                member.region != local_target.region,
                -xxhash.xxh3_64_intdigest(text),
            )

        ordered = sorted(candidates, key=key)
        local = [
            m
            for m in ordered
            if m.failure_domain == local_target.failure_domain
        ]
        remote = [
            m
            for m in ordered
            if m.failure_domain != local_target.failure_domain
        ]
        spill_count = min(
            len(remote), self._settings.subset_size // _SPILL_PLACE_ONE_IN
        )
        local_count = self._settings.subset_size - spill_count
        return (
            local[:local_count]
            + remote[:spill_count]
            + local[local_count:]
            + remote[spill_count:]
        )

    def _select_pool(
        self,
        states: list[balancing.TargetState],
        priority: int,
        tried: Collection[str],
        now_ms: float,
    ) -> tuple[list[balancing.TargetState], Reason]:
        """Returns the targets to select from, and the reason.

        Only the first subset_size targets that are available are considered;
        a target that was tried also takes one of these places.
        """
        usable: list[balancing.TargetState] = []
        local: list[balancing.TargetState] = []
        shedding: list[balancing.TargetState] = []
        local_sheds = False
        places_left = self._settings.subset_size
        for state in states:
            ejection_state = state.ejection_state
            # EjectionState.is_unavailable(), inlined because this loop takes
            # most of the time of a selection.
            if (
                now_ms < ejection_state.ejected_until_ms
                or now_ms < ejection_state.unreachable_until_ms
            ):
                continue
            places_left -= 1
            if tried and state.member.target in tried:
                pass
            elif state.threshold and priority < self._decayed_threshold(
                state, now_ms
            ):
                shedding.append(state)
                local_sheds = local_sheds or state.is_local
            else:
                usable.append(state)
                if state.is_local:
                    local.append(state)
            if not places_left:
                break
        if len(local) >= self._settings.local_min:
            return local, Reason.OWN_DOMAIN
        if usable:
            reason = Reason.LOCAL_SHEDS if local_sheds else Reason.FEW_LOCAL
            return usable, reason
        if shedding:
            lowest = min(
                shedding, key=lambda s: self._decayed_threshold(s, now_ms)
            )
            return [lowest], Reason.ALL_SHED
        return _last_resort(states, tried)

    def _decayed_threshold(
        self, state: balancing.TargetState, now_ms: float
    ) -> float:
        """Returns the shed threshold, which decays to 0 at expiry_ms."""
        freshness = 1.0 - (now_ms - state.reported_ms) / self._expiry_ms
        return state.threshold * freshness


def _last_resort(
    states: list[balancing.TargetState], tried: Collection[str]
) -> tuple[list[balancing.TargetState], Reason]:
    """Returns the untried target that becomes available first."""
    untried = [s for s in states if s.member.target not in tried]
    if not untried:
        return [], Reason.ALL_TRIED
    earliest = min(
        untried, key=lambda s: s.ejection_state.unavailable_until_ms()
    )
    return [earliest], Reason.LAST_RESORT
