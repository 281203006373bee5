"""Checks of the responses to callers against the run logs of the targets."""

import collections
import dataclasses

from mimosahaven import load
from mimosahaven.testing import callgraph
from mimosahaven.testing import deployments
from mimosahaven.testing import runs as runs_lib

AT_MOST_ONCE = "at most one run"
NOT_RUN = "not run means not run"
CORRECT_RESPONSE = "own and complete answer"
SUCCESS_RAN = "success means that the whole chain ran"
RETRY_BOUND = "attempts at the deepest service"
NAMES = (AT_MOST_ONCE, NOT_RUN, CORRECT_RESPONSE, SUCCESS_RAN, RETRY_BOUND)


@dataclasses.dataclass(frozen=True)
class Violation:
    """One violation of an invariant.

    Attributes:
      name: Violated invariant, one of `NAMES`.
      action_id: Action whose attempts or runs violate it.
    """

    name: str
    action_id: str
    detail: str


@dataclasses.dataclass
class Observations:
    """Requests and runs recorded during one experiment.

    Attributes:
      start_ms: Start of the load on the machine's monotonic clock, which
        also provides the times of the runs.
    """

    deployment: deployments.Deployment
    requests: list[load.Request]
    runs: list[runs_lib.Run]
    start_ms: float


def check(observations: Observations) -> list[Violation]:
    """Returns all violations, in the order of `NAMES`."""
    runs_by_action: dict[str, list[runs_lib.Run]] = collections.defaultdict(
        list
    )
    for run in observations.runs:
        if run.action_id:
            runs_by_action[run.action_id].append(run)
    return [
        *_check_at_most_once(observations, runs_by_action),
        *_check_not_run(observations, runs_by_action),
        *_check_correct_response(observations),
        *_check_success(observations, runs_by_action),
        *_check_retry_bound(observations, runs_by_action),
    ]


def count_violations(violations: list[Violation]) -> dict[str, int]:
    """Returns the number of violations of each invariant."""
    counts = collections.Counter(v.name for v in violations)
    return {name: counts[name] for name in NAMES}


def call_chain(service: str, path: str) -> set[tuple[str, str]]:
    """Returns the (service, path) pairs of a call and its nested calls."""
    result = {(service, path)}
    for name in callgraph.nested_calls(service, path):
        nested_service, _, nested_path = name.partition("/")
        result |= call_chain(nested_service, f"/{nested_path}")
    return result


def _kind_of(
    observations: Observations, request: load.Request
) -> deployments.Kind | None:
    for kind in observations.deployment.kinds:
        if (kind.caller, kind.name) == (request.kind.caller, request.kind.kind):
            return kind
    return None


def _check_at_most_once(observations: Observations, runs_by_action: dict):
    at_most_once = set()
    for kind in observations.deployment.kinds:
        if not kind.idempotent:
            at_most_once |= call_chain(kind.service, kind.path)
    for action_id, runs in runs_by_action.items():
        run_counts = collections.Counter((r.service, r.path) for r in runs)
        for endpoint, count in run_counts.items():
            if count > 1 and endpoint in at_most_once:
                endpoint_text = "".join(endpoint)
                yield Violation(
                    AT_MOST_ONCE, action_id, f"{count} runs of {endpoint_text}"
                )


def _check_not_run(observations: Observations, runs_by_action: dict):
    for request in observations.requests:
        for index, attempt in enumerate(request.attempts):
            if attempt.run_state != "not-run":
                continue
            response_ms = observations.start_ms + attempt.end_s * 1000
            # A retry of the same action may run; this does not contradict the
            # response to the earlier attempt.
            retry_times_ms = [
                observations.start_ms + other.start_s * 1000
                for other in request.attempts[index + 1 :]
                if other.action_id == attempt.action_id
            ]
            next_attempt_ms = min(retry_times_ms, default=float("inf"))
            for run in runs_by_action.get(attempt.action_id, ()):
                if run.start_ms < next_attempt_ms:
                    order = "before" if run.start_ms < response_ms else "after"
                    yield Violation(
                        NOT_RUN,
                        attempt.action_id,
                        f"code {attempt.code}, but {run.service}{run.path} ran "
                        f"{order} the response",
                    )


def _check_correct_response(observations: Observations):
    for request in observations.requests:
        for attempt in request.attempts:
            if attempt.status == 200 and not attempt.complete:
                yield Violation(
                    CORRECT_RESPONSE, attempt.action_id, f"request {request.id}"
                )
    for run in observations.runs:
        if "foreign or truncated" in run.outcome:
            yield Violation(
                CORRECT_RESPONSE, run.action_id, f"{run.target}: {run.outcome}"
            )


def _check_success(observations: Observations, runs_by_action: dict):
    for request in observations.requests:
        kind = _kind_of(observations, request)
        for attempt in request.attempts:
            if kind is None or not attempt.succeeded:
                continue
            ran = {
                (r.service, r.path)
                for r in runs_by_action.get(attempt.action_id, ())
                if r.outcome == runs_lib.OK and r.id == request.id
            }
            missing = call_chain(kind.service, kind.path) - ran
            if missing:
                yield Violation(
                    SUCCESS_RAN,
                    attempt.action_id,
                    f"no run of {sorted(missing)}",
                )


def _check_retry_bound(observations: Observations, runs_by_action: dict):
    bounds = {}
    for request in observations.requests:
        kind = _kind_of(observations, request)
        for attempt in request.attempts:
            if kind is not None and attempt.action_id:
                bounds[attempt.action_id] = 1 + kind.retry_budget
    for action_id, runs in runs_by_action.items():
        count = sum(r.service == observations.deployment.deepest for r in runs)
        bound = bounds.get(action_id)
        if bound is not None and count > bound:
            yield Violation(
                RETRY_BOUND, action_id, f"{count} runs, bound {bound}"
            )
