"""Chooses the target of a request by when it is expected to finish.

Answers the pattern "targets of one service differ": in speed, in load, in
distance, and over time. Reports of targets arrive with every answer; between
them the own outstanding requests tell how the load has changed.
"""

import dataclasses
import random
from collections.abc import Collection
from collections.abc import Iterable

from mimosahaven.mesh import frames
from mimosahaven.mesh import records

# Bytes between failure domains are dear, and the way there takes longer.
REMOTE_PENALTY_MS = 6.0
# Reports above this age say little; the own outstanding requests remain.
REPORT_KEEP_MS = 2_000.0
# Any other target goes before one that has just refused or is down.
AVOIDED_PENALTY_MS = 1e6
# A target that was down is tried again after this time.
DOWN_KEEP_MS = 500.0
# Waiting counts this many times. By the expected end alone, a target three
# times as fast as another has a queue of two limits before the other fills,
# and displaces runs while that one has free slots.
WAIT_FACTOR = 3.0
# Part of the capacity of a service that may be below its threshold.
THRESHOLD_SHARE = 0.5
# Thresholds change within a few hundred ms.
THRESHOLD_KEEP_MS = 1_000.0
# Time of a run assumed when no target of the service has reported one.
DEFAULT_MEAN_MS = 60.0
# Weight of one result in the failure share of a target.
FAILURE_SMOOTHING = 0.1
# A target that was eased out is tried again as this passes.
FAILURE_HALF_LIFE_MS = 2_000.0
# How much sooner than others an unknown target is expected to end.
UNKNOWN_FACTOR = 0.3
# A target that always fails looks this many times slower than it is.
FAILURE_FACTOR = 12.0
# Scores within this share are taken for equal, so that daemons with the same
# reports do not all choose the same target.
JITTER_SHARE = 0.15
# An unreachable peer is left alone until a ping reaches it, at most so long.
UNREACHABLE_MAX_MS = 10_000.0


@dataclasses.dataclass(slots=True)
class TargetState:
    """What this daemon knows of one target.

    Attributes:
      outstanding: Own requests that it has not answered.
      load: Its newest report.
      load_ms: When that arrived.
      outstanding_then: Own requests at that time.
      failure_share: Share of runs that it failed, as of result_ms.
      result_ms: When the last of them ended.
      unreachable_since_ms: Time since which its VM does not answer, or None.
      avoid_until_ms: Time until which it refuses new work.
    """

    outstanding: int = 0
    load: frames.Load | None = None
    load_ms: float = 0.0
    outstanding_then: int = 0
    failure_share: float = 0.0
    result_ms: float = 0.0
    unreachable_since_ms: float | None = None
    avoid_until_ms: float = 0.0

    def recent_failure_share(self, now_ms: float) -> float:
        """Returns the share of failed runs, fading without new ones."""
        age_ms = max(0.0, now_ms - self.result_ms)
        return self.failure_share * 0.5 ** (age_ms / FAILURE_HALF_LIFE_MS)

    def is_down(self, now_ms: float) -> bool:
        """Whether its daemon has said lately that it does not answer."""
        return (
            self.load is not None
            and self.load.limit == 0
            and now_ms - self.load_ms < DOWN_KEEP_MS
        )


class LoadBalancer:
    """States of all targets, and the choice between them."""

    def __init__(
        self, failure_domain: str, local_host: str, rng: random.Random
    ):
        self._failure_domain = failure_domain
        self._local_host = local_host
        self._rng = rng
        self._states: dict[str, TargetState] = {}

    def state(self, target: records.Target) -> TargetState:
        """Returns the state of a target."""
        state = self._states.get(target.host)
        if state is None:
            state = self._states[target.host] = TargetState()
        return state

    def state_of_host(self, host: str) -> TargetState:
        """Returns the state of the target on a VM."""
        return self._states.setdefault(host, TargetState())

    def record_load(self, host: str, load: frames.Load, now_ms: float) -> None:
        """Takes in the report of a target."""
        state = self.state_of_host(host)
        state.load, state.load_ms = load, now_ms
        state.outstanding_then = state.outstanding
        state.unreachable_since_ms = None

    def record_result(self, host: str, failed: bool, now_ms: float) -> None:
        """Takes in whether a target has failed a run."""
        state = self.state_of_host(host)
        share = state.recent_failure_share(now_ms)
        state.failure_share = share + FAILURE_SMOOTHING * (failed - share)
        state.result_ms = now_ms

    def threshold(
        self, candidates: Iterable[records.Target], now_ms: float
    ) -> int:
        """Returns the shed threshold of a service.

        It is the one that half of the service's capacity is above or at, by
        what its targets run in a time. A full target alone says little while
        others have room, and neither does a slow one that is the last to fill:
        the fast ones refuse work before it does. Without a recent report there
        is none.
        """
        reported: list[tuple[int, float]] = []
        for target in candidates:
            state = self.state(target)
            load = state.load
            if load is None or state.unreachable_since_ms is not None:
                continue
            if load.limit == 0 or now_ms - state.load_ms > THRESHOLD_KEEP_MS:
                continue
            mean_ms = load.mean_ms or DEFAULT_MEAN_MS
            reported.append((load.threshold, load.limit / mean_ms))
        reported.sort()
        left = sum(capacity for _, capacity in reported) * THRESHOLD_SHARE
        for threshold, capacity in reported:
            left -= capacity
            if left <= 0:
                return threshold
        return 0

    def set_unreachable(self, host: str, now_ms: float) -> None:
        """Takes in that the VM of a target does not answer."""
        state = self.state_of_host(host)
        if state.unreachable_since_ms is None:
            state.unreachable_since_ms = now_ms

    def set_reachable(self, host: str) -> None:
        """Takes in that the VM of a target answers."""
        self.state_of_host(host).unreachable_since_ms = None

    def unreachable_hosts(self) -> list[str]:
        """Returns the VMs that have to be probed."""
        return [
            host
            for host, state in self._states.items()
            if state.unreachable_since_ms is not None
        ]

    def retain_only(self, hosts: Collection[str]) -> None:
        """Forgets targets that are gone."""
        for host in [h for h in self._states if h not in hosts]:
            del self._states[host]

    def choose(
        self,
        candidates: Iterable[records.Target],
        tried: Collection[str],
        now_ms: float,
    ) -> records.Target | None:
        """Returns the target with the earliest expected end, or None.

        Args:
          candidates: Targets of the service that take new work.
          tried: Identities of targets that this request has been sent to.
          now_ms: Present time.
        """
        best, best_score = None, float("inf")
        usual_ms = self._usual_ms(candidates, now_ms)
        for target in candidates:
            if target.target_id in tried:
                continue
            state = self.state(target)
            if state.unreachable_since_ms is not None:
                continue
            score = self.score_ms(target, state, usual_ms, now_ms)
            score *= 1.0 + JITTER_SHARE * self._rng.random()
            if now_ms < state.avoid_until_ms or state.is_down(now_ms):
                # Better than no target at all.
                score += AVOIDED_PENALTY_MS
            if score < best_score:
                best, best_score = target, score
        return best

    def _usual_ms(
        self, candidates: Iterable[records.Target], now_ms: float
    ) -> float:
        """Returns the mean time of a run at targets with recent reports."""
        total_ms, count = 0.0, 0
        for target in candidates:
            state = self.state(target)
            load = state.load
            recent = now_ms - state.load_ms < REPORT_KEEP_MS
            if load is not None and load.mean_ms and recent:
                total_ms += load.mean_ms
                count += 1
        return total_ms / count if count else DEFAULT_MEAN_MS

    def score_ms(
        self,
        target: records.Target,
        state: TargetState,
        usual_ms: float,
        now_ms: float,
    ) -> float:
        """Returns the expected time until the target has run a new request.

        Args:
          target: The target.
          state: What is known of it.
          usual_ms: Mean time of a run at the targets of its service.
          now_ms: Present time.
        """
        load = state.load
        limit, mean_ms, others = max(1, target.slots), usual_ms, 0.0
        if load is not None:
            limit = max(1, load.limit)
            keep = max(0.0, 1.0 - (now_ms - state.load_ms) / REPORT_KEEP_MS)
            if load.mean_ms:
                mean_ms += (load.mean_ms - usual_ms) * keep
            reported = load.running + load.waiting - state.outstanding_then
            others = max(0.0, reported) * keep
        ahead = (others + state.outstanding) / limit
        # Up to the limit a run starts at once; the square spreads load before
        # a queue forms.
        wait_share = ahead * ahead * 0.5
        if ahead >= 1:
            wait_share = 0.5 + (ahead - 1.0) * WAIT_FACTOR
        score = mean_ms * (1.0 + wait_share)
        score *= 1.0 + FAILURE_FACTOR * state.recent_failure_share(now_ms)
        if load is None and not state.outstanding:
            # A target that has joined shows what it can do by one request.
            score *= UNKNOWN_FACTOR
        if target.host != self._local_host:
            score += 1.0
            if target.failure_domain != self._failure_domain:
                score += REMOTE_PENALTY_MS
        return score
