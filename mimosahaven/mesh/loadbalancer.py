"""Load balancing by expected completion time.

Targets of one service differ in speed, load and distance, and these change
over time. Load reports of targets arrive with every response; between reports,
the change in load is estimated from this daemon's own outstanding requests.
"""

import dataclasses
import random
from collections.abc import Collection
from collections.abc import Iterable

from mimosahaven.mesh import frames
from mimosahaven.mesh import records

# Added to the score of targets in other failure domains, as traffic between
# domains is expensive and has a higher latency: a time, and a share of the mean
# run time of the service. Without the share, the random spread of the scores of
# long runs would outweigh the time.
REMOTE_PENALTY_MS = 6.0
REMOTE_PENALTY_SHARE = 0.1
# The weight of a load report decreases linearly to 0 at this age. From then on,
# only this daemon's outstanding requests count.
REPORT_MAX_AGE_MS = 2_000.0
# Score penalty of targets that have just refused or are down; it ranks them
# behind all others.
AVOIDED_PENALTY_MS = 1e6
# A target reported as down is tried again after this time.
DOWN_RETRY_MS = 500.0
# Weight of queueing in the score. With a weight of 1, a target that is three
# times as fast as another would queue twice its limit before the slower one
# fills up, and would drop runs while the slower one has free slots. A queue
# also makes the callers shed requests that the slower one could serve.
QUEUE_WAIT_FACTOR = 8.0
# Quantile of the targets' shed thresholds, weighted by capacity, that is taken
# as the threshold of their service; 0.5 is the median.
THRESHOLD_QUANTILE = 0.5
# Older thresholds are ignored; they change within a few hundred ms.
THRESHOLD_MAX_AGE_MS = 1_000.0
# Mean run time assumed when no target of the service has reported one.
DEFAULT_MEAN_MS = 60.0
# Weight of one result in the moving average of a target's failure share.
FAILURE_SMOOTHING = 0.1
# The failure share decays at this rate, so that a target that was avoided for
# its failures is tried again.
FAILURE_HALF_LIFE_MS = 2_000.0
# Score factor that favors a target without any report.
UNKNOWN_FACTOR = 0.3
# A target that fails all runs has its score multiplied by 1 plus this.
FAILURE_FACTOR = 12.0
# Random spread of scores, so that daemons with the same reports do not all
# choose the same target.
JITTER_SHARE = 0.15


@dataclasses.dataclass(slots=True)
class TargetState:
    """State of one target as seen by this daemon.

    Attributes:
      outstanding: Requests of this daemon that await a response.
      load: Latest load report.
      load_received_ms: Arrival time of that report.
      outstanding_at_report: Outstanding requests at that time.
      failure_share: Moving average of the share of runs that the target
        failed or refused, as of result_ms.
      result_ms: Time of the last result.
      unreachable_since_ms: Time since which the VM does not respond, or None.
      avoid_until_ms: Time until which other targets are preferred, because
        this one refuses new work.
    """

    outstanding: int = 0
    load: frames.Load | None = None
    load_received_ms: float = 0.0
    outstanding_at_report: int = 0
    failure_share: float = 0.0
    result_ms: float = 0.0
    unreachable_since_ms: float | None = None
    avoid_until_ms: float = 0.0

    def recent_failure_share(self, now_ms: float) -> float:
        """Returns the failure share, decayed since the last result."""
        age_ms = max(0.0, now_ms - self.result_ms)
        return self.failure_share * 0.5 ** (age_ms / FAILURE_HALF_LIFE_MS)

    def is_down(self, now_ms: float) -> bool:
        """Returns whether a recent report says that the target is down."""
        return (
            self.load is not None
            and self.load.limit == 0
            and now_ms - self.load_received_ms < DOWN_RETRY_MS
        )


class LoadBalancer:
    """Tracks the state of all targets and chooses between them."""

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
        """Records a load report of a target."""
        state = self.state_of_host(host)
        state.load, state.load_received_ms = load, now_ms
        state.outstanding_at_report = state.outstanding
        state.unreachable_since_ms = None

    def record_result(self, host: str, failed: bool, now_ms: float) -> None:
        """Records whether a target has failed or refused a run."""
        state = self.state_of_host(host)
        share = state.recent_failure_share(now_ms)
        state.failure_share = share + FAILURE_SMOOTHING * (failed - share)
        state.result_ms = now_ms

    def threshold(
        self, candidates: Iterable[records.Target], now_ms: float
    ) -> int:
        """Returns the shed threshold of a service; 0 without recent reports.

        This is the median threshold of the targets, weighted by their
        capacity in runs per time. One full target does not indicate overload
        while others have spare capacity. Nor does a slow target that fills up
        last indicate spare capacity, as the faster ones refuse work earlier.
        """
        reported: list[tuple[int, float]] = []
        for target in candidates:
            state = self.state(target)
            load = state.load
            if load is None or state.unreachable_since_ms is not None:
                continue
            if (
                load.limit == 0
                or now_ms - state.load_received_ms > THRESHOLD_MAX_AGE_MS
            ):
                continue
            mean_ms = load.mean_ms or DEFAULT_MEAN_MS
            reported.append((load.threshold, load.limit / mean_ms))
        reported.sort()
        remaining = (
            sum(capacity for _, capacity in reported) * THRESHOLD_QUANTILE
        )
        for threshold, capacity in reported:
            remaining -= capacity
            if remaining <= 0:
                return threshold
        return 0

    def set_unreachable(self, host: str, now_ms: float) -> None:
        """Marks the VM of a target as unreachable."""
        state = self.state_of_host(host)
        if state.unreachable_since_ms is None:
            state.unreachable_since_ms = now_ms

    def set_reachable(self, host: str) -> None:
        """Marks the VM of a target as reachable."""
        self.state_of_host(host).unreachable_since_ms = None

    def unreachable_hosts(self) -> list[str]:
        """Returns the unreachable VMs, which have to be probed."""
        return [
            host
            for host, state in self._states.items()
            if state.unreachable_since_ms is not None
        ]

    def retain_only(self, hosts: Collection[str]) -> None:
        """Removes the state of targets on all other VMs."""
        for host in [h for h in self._states if h not in hosts]:
            del self._states[host]

    def choose(
        self,
        candidates: Iterable[records.Target],
        excluded: Collection[str],
        now_ms: float,
    ) -> records.Target | None:
        """Returns the target with the earliest expected completion, or None.

        Args:
          candidates: Targets of the service that accept new work.
          excluded: IDs of targets that must not be chosen.
          now_ms: Current time.
        """
        best, best_score = None, float("inf")
        service_mean_ms = self._service_mean_ms(candidates, now_ms)
        for target in candidates:
            if target.target_id in excluded:
                continue
            state = self.state(target)
            if state.unreachable_since_ms is not None:
                continue
            score = self.score_ms(target, state, service_mean_ms, now_ms)
            score *= 1.0 + JITTER_SHARE * self._rng.random()
            if now_ms < state.avoid_until_ms or state.is_down(now_ms):
                # Still a candidate, in case there is no other target.
                score += AVOIDED_PENALTY_MS
            if score < best_score:
                best, best_score = target, score
        return best

    def _service_mean_ms(
        self, candidates: Iterable[records.Target], now_ms: float
    ) -> float:
        """Returns the mean run time over the targets with recent reports."""
        total_ms, count = 0.0, 0
        for target in candidates:
            state = self.state(target)
            load = state.load
            recent = now_ms - state.load_received_ms < REPORT_MAX_AGE_MS
            if load is not None and load.mean_ms and recent:
                total_ms += load.mean_ms
                count += 1
        return total_ms / count if count else DEFAULT_MEAN_MS

    def score_ms(
        self,
        target: records.Target,
        state: TargetState,
        service_mean_ms: float,
        now_ms: float,
    ) -> float:
        """Returns the score of a target; lower is better.

        The score is the expected time until the target has completed a new
        request, with penalties for queueing, failures and distance.

        Args:
          target: The target.
          state: Its state.
          service_mean_ms: Mean run time over the targets of its service.
          now_ms: Current time.
        """
        load = state.load
        limit, mean_ms, other_requests = (
            max(1, target.slots),
            service_mean_ms,
            0.0,
        )
        if load is not None:
            limit = max(1, load.limit)
            freshness = max(
                0.0, 1.0 - (now_ms - state.load_received_ms) / REPORT_MAX_AGE_MS
            )
            if load.mean_ms:
                mean_ms += (load.mean_ms - service_mean_ms) * freshness
            reported = load.running + load.waiting - state.outstanding_at_report
            other_requests = max(0.0, reported) * freshness
        utilization = (other_requests + state.outstanding) / limit
        # Below the limit, a run starts immediately; the quadratic term spreads
        # the load before a queue forms.
        wait_factor = utilization * utilization * 0.5
        if utilization >= 1:
            wait_factor = 0.5 + (utilization - 1.0) * QUEUE_WAIT_FACTOR
        score = mean_ms * (1.0 + wait_factor)
        score *= 1.0 + FAILURE_FACTOR * state.recent_failure_share(now_ms)
        if load is None and not state.outstanding:
            # A new target gets one request early, to obtain its first report.
            score *= UNKNOWN_FACTOR
        if target.host != self._local_host:
            # The hop to another VM counts as 1 ms.
            score += 1.0
            if target.failure_domain != self._failure_domain:
                score += REMOTE_PENALTY_MS
                score += REMOTE_PENALTY_SHARE * service_mean_ms
        return score
