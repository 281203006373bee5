"""Load experiment on a deployment: plan, execution, result and checks."""

import dataclasses

from mimosahaven import load
from mimosahaven import loadplan
from mimosahaven import loadresult
from mimosahaven.testing import deployments
from mimosahaven.testing import invariants
from mimosahaven.testing import processes
from mimosahaven.testing import runner as runner_lib

# Offered load as a share of the capacity of the deepest service, outside the
# overload and during it.
BASELINE_SHARE = 0.7
SURGE_SHARE = 3.0
# Factor on the service time of the deepest service in the phase SLOW.
SLOW_FACTOR = 10.0
WARM_UP = "warm-up"
BASELINE = "calm"
SURGE = "surge"
# Last part of the surge, as long as the timeout of an attempt. Requests
# due in it may reach the slow service, so they do not count for the surge.
SURGE_END = "end of surge"
SLOW = "slow service"
RECOVERY = "recovery"


@dataclasses.dataclass(frozen=True)
class Durations:
    """Seconds of each phase."""

    warm_up_s: float
    baseline_s: float
    surge_s: float
    slow_s: float
    recovery_s: float


@dataclasses.dataclass
class Outcome:
    """Outcome of an experiment.

    Attributes:
      result: Result of `loadresult.summarize`.
      violations: Violations of the invariants.
    """

    result: dict
    violations: list[invariants.Violation]


def make_kind_loads(
    deployment: deployments.Deployment,
) -> list[loadplan.KindLoad]:
    """Returns the load of each kind of request, for a plan."""
    return [
        loadplan.KindLoad(
            caller=kind.caller,
            kind=kind.name,
            method=kind.method,
            path=kind.url_path,
            share=kind.share,
            idempotent=kind.idempotent,
            important=kind.weight >= deployment.important_weight,
        )
        for kind in deployment.kinds
    ]


def make_plan(
    runner: runner_lib.Runner,
    durations: Durations,
    retry_policy: loadplan.RetryPolicy,
    seed: int,
) -> loadplan.Plan:
    """Returns a plan: a surge, then a slow deepest service, then recovery."""
    deployment = runner.deployment
    capacity_per_s = deployment.capacity_per_s()

    def make_phase(
        name: str, duration_s: float, share: float, service_factor: float
    ):
        return loadplan.Phase(
            name=name,
            duration_s=duration_s,
            rate_per_s=share * capacity_per_s,
            puts=[
                loadplan.PutRequest(
                    url=f"{node.target_url}/-/control",
                    body={"service_factor": service_factor},
                )
                for node in runner.nodes_of(deployment.deepest)
            ],
        )

    return loadplan.Plan(
        entries=[node.entry_url for node in runner.nodes],
        kinds=make_kind_loads(deployment),
        phases=[
            make_phase(WARM_UP, durations.warm_up_s, BASELINE_SHARE, 1),
            make_phase(BASELINE, durations.baseline_s, BASELINE_SHARE, 1),
            make_phase(SURGE, durations.surge_s, SURGE_SHARE, 1),
            make_phase(
                SURGE_END, retry_policy.timeout_ms / 1000, SURGE_SHARE, 1
            ),
            make_phase(SLOW, durations.slow_s, SURGE_SHARE, SLOW_FACTOR),
            make_phase(RECOVERY, durations.recovery_s, BASELINE_SHARE, 1),
        ],
        resend=retry_policy,
        seed=seed,
        baseline=BASELINE,
        cause_ends=RECOVERY,
    )


async def wait_until_idle(runner: runner_lib.Runner) -> None:
    """Waits until no target runs a call, so that the run log is complete."""

    async def idle() -> bool:
        for node in runner.nodes:
            log_report = await processes.get_json(
                runner.session, f"{node.target_url}/-/runs?after=1000000000"
            )
            if log_report is None or log_report["concurrent"]:
                return False
        return True

    await processes.wait_until(idle, description="all targets idle")


async def run_experiment(
    runner: runner_lib.Runner, plan: loadplan.Plan
) -> Outcome:
    """Executes a plan on a running deployment and checks the invariants."""
    async with load.make_session() as session:
        generator = load.LoadGenerator(plan, session)
        requests = await generator.run()
    await wait_until_idle(runner)
    observations = invariants.Observations(
        runner.deployment,
        requests,
        runner.runs(),
        generator.start_s * 1000,
    )
    return Outcome(
        loadresult.summarize(plan, requests), invariants.check(observations)
    )
