"""Checks of what callers were told against what the targets ran."""

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
    """One case in which an invariant did not hold.

    Attributes:
      name: Invariant, one of `NAMES`.
      action_id: Action that shows it.
    """

    name: str
    action_id: str
    detail: str


@dataclasses.dataclass
class Observations:
    """What one run of an experiment showed.

    Attributes:
      start_ms: Start of the load on the machine's monotonic clock, which
        the times of the runs are of too.
    """

    deployment: deployments.Deployment
    requests: list[load.Request]
    runs: list[runs_lib.Run]
    start_ms: float


def check(seen: Observations) -> list[Violation]:
    """Returns all violations, in the order of `NAMES`."""
    by_action: dict[str, list[runs_lib.Run]] = collections.defaultdict(list)
    for run in seen.runs:
        if run.action_id:
            by_action[run.action_id].append(run)
    return [
        *_check_at_most_once(seen, by_action),
        *_check_not_run(seen, by_action),
        *_check_own_answer(seen),
        *_check_success(seen, by_action),
        *_check_retry_bound(seen, by_action),
    ]


def count_violations(violations: list[Violation]) -> dict[str, int]:
    """Returns the number of violations of each invariant."""
    found = collections.Counter(v.name for v in violations)
    return {name: found[name] for name in NAMES}


def call_chain(service: str, path: str) -> set[tuple[str, str]]:
    """Returns the services and paths that one call runs, itself included."""
    result = {(service, path)}
    for name in callgraph.nested_calls(service, path):
        nested_service, _, nested_path = name.partition("/")
        result |= call_chain(nested_service, f"/{nested_path}")
    return result


def _kind_of(
    seen: Observations, request: load.Request
) -> deployments.Kind | None:
    for kind in seen.deployment.kinds:
        if (kind.caller, kind.name) == (request.kind.caller, request.kind.kind):
            return kind
    return None


def _check_at_most_once(seen: Observations, by_action: dict):
    protected = set()
    for kind in seen.deployment.kinds:
        if not kind.idempotent:
            protected |= call_chain(kind.service, kind.path)
    for action_id, runs in by_action.items():
        places = collections.Counter((r.service, r.path) for r in runs)
        for place, count in places.items():
            if count > 1 and place in protected:
                where = "".join(place)
                yield Violation(
                    AT_MOST_ONCE, action_id, f"{count} runs of {where}"
                )


def _check_not_run(seen: Observations, by_action: dict):
    for request in seen.requests:
        for index, send in enumerate(request.sends):
            if send.run != "not-run":
                continue
            told_ms = seen.start_ms + send.end_s * 1000
            # A later send of the same action may run; then the first answer
            # was still true.
            later_ms = [
                seen.start_ms + other.start_s * 1000
                for other in request.sends[index + 1 :]
                if other.action_id == send.action_id
            ]
            allowed_ms = min(later_ms, default=float("inf"))
            for run in by_action.get(send.action_id, ()):
                if run.start_ms < allowed_ms:
                    order = "before" if run.start_ms < told_ms else "after"
                    yield Violation(
                        NOT_RUN,
                        send.action_id,
                        f"code {send.code}, but {run.service}{run.path} ran "
                        f"{order} the answer",
                    )


def _check_own_answer(seen: Observations):
    for request in seen.requests:
        for send in request.sends:
            if send.status == 200 and not send.whole:
                yield Violation(
                    CORRECT_RESPONSE, send.action_id, f"request {request.id}"
                )
    for run in seen.runs:
        if "foreign or truncated" in run.outcome:
            yield Violation(
                CORRECT_RESPONSE, run.action_id, f"{run.target}: {run.outcome}"
            )


def _check_success(seen: Observations, by_action: dict):
    for request in seen.requests:
        kind = _kind_of(seen, request)
        for send in request.sends:
            if kind is None or not send.succeeded:
                continue
            ran = {
                (r.service, r.path)
                for r in by_action.get(send.action_id, ())
                if r.outcome == runs_lib.OK and r.id == request.id
            }
            missing = call_chain(kind.service, kind.path) - ran
            if missing:
                yield Violation(
                    SUCCESS_RAN, send.action_id, f"no run of {sorted(missing)}"
                )


def _check_retry_bound(seen: Observations, by_action: dict):
    bounds = {}
    for request in seen.requests:
        kind = _kind_of(seen, request)
        for send in request.sends:
            if kind is not None and send.action_id:
                bounds[send.action_id] = 1 + kind.retry_budget
    for action_id, runs in by_action.items():
        count = sum(r.service == seen.deployment.deepest for r in runs)
        bound = bounds.get(action_id)
        if bound is not None and count > bound:
            yield Violation(
                RETRY_BOUND, action_id, f"{count} runs, bound {bound}"
            )
