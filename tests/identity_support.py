"""Helpers for stateful tests: settings, results and state machine runs."""

import hypothesis
from hypothesis import stateful

from mimosahaven import messages
from mimosahaven import settings as settings_lib


def make_settings(mechanisms=None, **parts):
    endpoint = {"host": "127.0.0.1", "port": 1}
    target = {"name": "t", "service": "s", "failure_domain": "d"}
    return settings_lib.Settings(
        target={**target, "endpoint": endpoint},
        entry=endpoint,
        link=endpoint,
        mechanisms=mechanisms or {},
        **parts,
    )


def result(code, body=b"12345678"):
    return messages.Result("a/1", 0, int(code), body=body)


def run_machine(machine, phases=tuple(hypothesis.Phase)):
    config = hypothesis.settings(
        derandomize=True,
        max_examples=150,
        stateful_step_count=40,
        deadline=None,
        database=None,
        phases=phases,
        report_multiple_bugs=False,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    stateful.run_state_machine_as_test(machine, settings=config)


def failure_of(machine, **overrides):
    """Returns the error that a state machine raises with a mechanism off.

    Raises:
      AssertionError: The state machine found no failure.
    """
    try:
        variant = type(machine.__name__, (machine,), overrides)
        run_machine(variant, phases=[hypothesis.Phase.generate])
    except AssertionError as error:
        return str(error)
    raise AssertionError("the check passes with the mechanism off")
