"""Settings and runner shared by the tests of identities and budgets."""

import hypothesis
from hypothesis import stateful

from mimosahaven import settings as settings_lib


def settings(**parts):
    endpoint = {"host": "127.0.0.1", "port": 1}
    target = {"name": "t", "service": "s", "failure_domain": "d"}
    return settings_lib.Settings(
        target={**target, "endpoint": endpoint},
        entry=endpoint,
        link=endpoint,
        **parts,
    )


def run_machine(machine, examples=150, steps=30, shrink=True):
    phases = [hypothesis.Phase.generate]
    if shrink:
        phases.append(hypothesis.Phase.shrink)
    stateful.run_state_machine_as_test(
        machine,
        settings=hypothesis.settings(
            derandomize=True,
            max_examples=examples,
            stateful_step_count=steps,
            deadline=None,
            database=None,
            phases=phases,
            report_multiple_bugs=False,
            suppress_health_check=list(hypothesis.HealthCheck),
        ),
    )


def failure_of(machine):
    """Returns the error that a machine with a mechanism off must raise."""
    try:
        run_machine(machine, shrink=False)
    except AssertionError as error:
        return str(error)
    raise AssertionError("the check passes with the mechanism off")
