"""Plan of a load experiment, read from JSON with comments."""

import pathlib
from typing import Annotated

import json5
import pydantic

from mimosahaven import settings as settings_lib

PositiveS = Annotated[float, pydantic.Field(gt=0, le=86_400)]
Url = Annotated[str, pydantic.Field(pattern=r"^http://[0-9a-f.:\[\]]+(/.*)?$")]


class KindLoad(settings_lib.SettingsModel):
    """Requests of one caller and kind.

    Attributes:
      path: Path at the entry, `/<service>/<path>`.
      share: Share of the offered load.
      important: Whether the requests count for important_success_share and
        important_codes in the result.
    """

    caller: str
    kind: str
    method: str = "GET"
    path: Annotated[str, pydantic.Field(pattern=r"^/[^/]+/")]
    share: Annotated[float, pydantic.Field(gt=0, le=1)]
    idempotent: bool = True
    important: bool = False


class PutRequest(settings_lib.SettingsModel):
    """A document sent with PUT, such as faults for a stand-in server."""

    url: Url
    body: dict


class Phase(settings_lib.SettingsModel):
    """A period with one offered rate; its puts are sent when it begins."""

    name: str
    duration_s: PositiveS
    rate_per_s: Annotated[float, pydantic.Field(gt=0, le=100_000)]
    puts: list[PutRequest] = []


class RetryPolicy(settings_lib.SettingsModel):
    """How clients retry.

    Attributes:
      timeout_ms: Time after which a client abandons an attempt. It is sent
        to the entry as the deadline.
      resends: Largest number of retries. They are sent immediately after a
        timeout, an incomplete response, and a failure other than "not run".
      refused: Whether to retry after "not run" as well.
      same_action_share: Share of requests whose attempts all carry one action
        id; in the others each attempt is a separate action.
    """

    timeout_ms: Annotated[float, pydantic.Field(gt=0)] = 1_000
    resends: Annotated[int, pydantic.Field(ge=0, le=100)] = 2
    refused: bool = False
    same_action_share: Annotated[float, pydantic.Field(ge=0, le=1)] = 0.5


class Plan(settings_lib.SettingsModel):
    """Plan of one load generator process.

    Attributes:
      entries: Addresses of entries; each attempt goes to one at random.
      cause_ends: Phase at whose start the cause of the overload has ended;
        recovery time counts from there.
      baseline: Phase that shows the goodput before the overload.
    """

    entries: Annotated[list[Url], pydantic.Field(min_length=1)]
    kinds: Annotated[list[KindLoad], pydantic.Field(min_length=1)]
    phases: Annotated[list[Phase], pydantic.Field(min_length=1)]
    resend: RetryPolicy = RetryPolicy()
    seed: int = 0
    cause_ends: str = ""
    baseline: str = ""

    @pydantic.model_validator(mode="after")
    def _check_phase_names(self):
        names = {phase.name for phase in self.phases}
        if len(names) != len(self.phases):
            raise ValueError("two phases have the same name")
        for name in (self.cause_ends, self.baseline):
            if name and name not in names:
                raise ValueError(f"no phase is named {name!r}")
        return self

    def phase_start_s(self, name: str) -> float:
        """Returns the start of a phase, from the start of the plan."""
        start_s = 0.0
        for phase in self.phases:
            if phase.name == name:
                return start_s
            start_s += phase.duration_s
        raise KeyError(name)


def load(path: pathlib.Path) -> Plan:
    """Reads a plan.

    Raises:
      ValueError: The file is not JSON, or a field is not allowed.
    """
    return Plan.model_validate(json5.loads(path.read_text(encoding="utf-8")))
