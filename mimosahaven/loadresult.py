"""Result of a load experiment: counts, latencies and recovery time."""

import collections
import dataclasses

import hdrh.histogram

from mimosahaven import load
from mimosahaven import loadplan

LATENCY_MAX_US = 600_000_000
SIGNIFICANT_DIGITS = 3
PERCENTILES = (50, 90, 99, 99.9)
# Goodput counts as recovered at this share of the baseline.
RECOVERED_SHARE = 0.95
# A window holds enough requests that one failure is not an outage; the step
# is the resolution of the recovery time.
WINDOW_S = 1.0
WINDOW_STEP_S = 0.1


class LatencyHistogram:
    """Histogram of latencies from the intended send time."""

    def __init__(self):
        self._histogram = hdrh.histogram.HdrHistogram(
            1, LATENCY_MAX_US, SIGNIFICANT_DIGITS
        )

    def add(self, latency_s: float) -> None:
        """Adds a latency in seconds."""
        self._histogram.record_value(max(1, int(latency_s * 1e6)))

    def percentiles_ms(self) -> dict:
        """Returns the percentiles in milliseconds."""
        return {
            f"p{percentile:g}_ms": self._histogram.get_value_at_percentile(
                percentile
            )
            / 1000
            for percentile in PERCENTILES
        }


@dataclasses.dataclass
class RequestCounts:
    """Counts of whole requests in one group, such as a kind or a phase.

    Attributes:
      retried: Requests with more than one attempt.
      sends: Attempts of all requests.
    """

    offered: int = 0
    succeeded: int = 0
    failed: int = 0
    refused: int = 0
    retried: int = 0
    sends: int = 0

    def add(self, request: load.Request) -> None:
        """Adds a request."""
        self.offered += 1
        outcome = request.outcome
        setattr(self, outcome, getattr(self, outcome) + 1)
        self.retried += len(request.attempts) > 1
        self.sends += len(request.attempts)


def count_by(requests: list[load.Request], key) -> dict:
    """Returns the counts of the requests, grouped by the value of `key`."""
    groups: dict = collections.defaultdict(RequestCounts)
    for request in requests:
        groups[key(request)].add(request)
    return dict(groups)


def due_between(
    requests: list[load.Request], start_s: float, end_s: float
) -> list[load.Request]:
    """Returns the requests that were due in a time interval."""
    return [r for r in requests if start_s <= r.intended_s < end_s]


def success_share(requests: list[load.Request]) -> float:
    """Returns the share of requests that succeeded; 1 if there are none."""
    if not requests:
        return 1.0
    return sum(r.outcome == "succeeded" for r in requests) / len(requests)


def recovery_s(
    requests: list[load.Request],
    baseline_share: float,
    cause_end_s: float,
    end_s: float,
) -> float | None:
    """Returns how long goodput took to recover permanently.

    Goodput is measured as the share of due requests that succeed, so that
    random variation in the number of arrivals does not count as a loss.

    Args:
      requests: All requests.
      baseline_share: Share that succeeded before the overload.
      cause_end_s: Time at which the cause of the overload ended.
      end_s: Time of the last request.

    Returns:
      Seconds until the first window from which on every window reaches 95% of
      the baseline share, or None if the last window does not.
    """
    recovered_s = None
    start_s = cause_end_s
    while start_s + WINDOW_S <= end_s + WINDOW_STEP_S / 2:
        window = due_between(requests, start_s, start_s + WINDOW_S)
        if success_share(window) < RECOVERED_SHARE * baseline_share:
            recovered_s = None
        elif recovered_s is None:
            # Floating-point steps of 0.1 s add up to 2.00000000000003, not 2.
            recovered_s = round(start_s - cause_end_s, 6)
        start_s += WINDOW_STEP_S
    return recovered_s


def _latency_percentiles(requests: list[load.Request]) -> dict:
    latencies = LatencyHistogram()
    for request in requests:
        if request.outcome == "succeeded":
            latencies.add(request.end_s - request.intended_s)
    return latencies.percentiles_ms()


def _summarize_group(requests: list[load.Request], duration_s: float) -> dict:
    counts = RequestCounts()
    for request in requests:
        counts.add(request)
    important = [r for r in requests if r.kind.important]
    return {
        **dataclasses.asdict(counts),
        "goodput_per_s": counts.succeeded / duration_s,
        "important_success_share": (
            success_share(important) if important else None
        ),
        "latency": _latency_percentiles(requests),
        "important_codes": _count_codes(important),
    }


def _count_codes(requests: list[load.Request]) -> dict[str, int]:
    """Counts the attempts by result code, or by error without a response."""
    return collections.Counter(
        str(attempt.code or attempt.error or attempt.status)
        for request in requests
        for attempt in request.attempts
    )


def completed_per_s(
    requests: list[load.Request], start_s: float, end_s: float
) -> float:
    """Returns the rate of requests that succeeded within an interval."""
    succeeded = sum(
        r.outcome == "succeeded" and start_s <= r.end_s < end_s
        for r in requests
    )
    return succeeded / (end_s - start_s)


def _summarize_phases(
    plan: loadplan.Plan, requests: list[load.Request]
) -> dict:
    result = {}
    start_s = 0.0
    for phase in plan.phases:
        end_s = start_s + phase.duration_s
        due = due_between(requests, start_s, end_s)
        result[phase.name] = {
            "start_s": start_s,
            "offered_per_s": phase.rate_per_s,
            **_summarize_group(due, phase.duration_s),
            "completed_per_s": completed_per_s(requests, start_s, end_s),
            "kinds": {
                name: dataclasses.asdict(counts)
                for name, counts in count_by(due, lambda r: r.kind.kind).items()
            },
        }
        start_s = end_s
    return result


def _summarize_recovery(
    plan: loadplan.Plan, requests: list[load.Request]
) -> dict:
    if not (plan.cause_ends and plan.baseline):
        return {}
    start_s = plan.phase_start_s(plan.baseline)
    duration_s = next(
        p.duration_s for p in plan.phases if p.name == plan.baseline
    )
    share = success_share(due_between(requests, start_s, start_s + duration_s))
    return {
        "baseline_success_share": share,
        "recovery_s": recovery_s(
            requests,
            share,
            plan.phase_start_s(plan.cause_ends),
            sum(phase.duration_s for phase in plan.phases),
        ),
    }


def summarize(plan: loadplan.Plan, requests: list[load.Request]) -> dict:
    """Returns the result of an experiment as JSON types."""
    kinds = {}
    for kind in plan.kinds:
        kind_requests = [r for r in requests if r.kind is kind]
        counts = count_by(kind_requests, lambda r: r.kind.kind).get(
            kind.kind, RequestCounts()
        )
        kinds[f"{kind.caller}/{kind.kind}"] = {
            **dataclasses.asdict(counts),
            "latency": _latency_percentiles(kind_requests),
        }
    seconds = count_by(requests, lambda r: (int(r.intended_s), r.kind.kind))
    lag = LatencyHistogram()
    for request in requests:
        lag.add(request.sent_s - request.intended_s)
    return {
        "seed": plan.seed,
        "kinds": kinds,
        "phases": _summarize_phases(plan, requests),
        "per_second": [
            {"second": second, "kind": kind, **dataclasses.asdict(counts)}
            for (second, kind), counts in sorted(seconds.items())
        ],
        "codes": _count_codes(requests),
        "generator_lag": lag.percentiles_ms(),
        **_summarize_recovery(plan, requests),
    }
