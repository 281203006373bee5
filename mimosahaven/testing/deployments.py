"""Definitions of the two deployments in section 2 of the design."""

import dataclasses
import json
import math

# The naive variant switches these mechanisms off and uses basic algorithms.
NAIVE_SETTINGS = {
    "mechanisms": dict.fromkeys(
        (
            "admission",
            "shed_at_entry",
            "reserve",
            "chain_budget",
            "inquire",
            "ledger",
            "clock_skew",
            "pause_detector",
            "quarantine",
            "ejection",
            "row_limits",
        ),
        False,
    ),
    "routing": {"algorithm": "round_robin"},
    "admission": {"algorithm": "fixed"},
}
# Sigma of the log-normal service times, whose mean is above their median.
SERVICE_TIME_SIGMA = 0.3
VARIANTS: dict[str, dict] = {"full": {}, "naive": NAIVE_SETTINGS}
# Retries at each hop of the naive variant. The retry budget of a row covers the
# whole call chain; applied at each of three hops, it would allow 64 attempts.
NAIVE_RETRY_BUDGET = 1


@dataclasses.dataclass(frozen=True)
class Service:
    """A service and its targets.

    Attributes:
      targets: Number of targets, spread over the failure domains.
      slots: Slots of each target.
      connections: Maximum number of connections to each target.
      service_ms: Median service time, excluding nested calls.
    """

    name: str
    targets: int
    slots: int
    connections: int
    service_ms: float


@dataclasses.dataclass(frozen=True)
class Kind:
    """A kind of request, its table row and its share of the load.

    Attributes:
      service: First service of the call chain.
      path: Path at that service; determines the nested calls.
      share: Share of the offered load.
    """

    caller: str
    name: str
    method: str
    service: str
    path: str
    weight: int
    idempotent: bool
    share: float
    deadline_ms: float = 3_000
    retry_budget: int = 3

    @property
    def url_path(self) -> str:
        """Path of the request at the entry of a daemon."""
        return f"/{self.service}{self.path}"


@dataclasses.dataclass(frozen=True)
class Deployment:
    """Services, failure domains and kinds of requests of one operator.

    Attributes:
      deepest: Service at the end of every call chain.
      address_prefix: First three octets of the loopback addresses; each
        failure domain has its own address.
    """

    name: str
    region: str
    failure_domains: tuple[str, ...]
    services: tuple[Service, ...]
    kinds: tuple[Kind, ...]
    deepest: str
    address_prefix: str
    important_weight: int = 50

    def scaled(
        self, slots: float, targets: float = 1.0, service_time: float = 1.0
    ) -> "Deployment":
        """Returns a scaled copy of the deployment.

        Args:
          slots: Factor for the slots and connections of each target.
          targets: Factor for the number of targets of each service.
          service_time: Factor for the service times. Fewer slots with longer
            service times keep the load ratios at a request rate that one
            machine can sustain.
        """
        return dataclasses.replace(
            self,
            services=tuple(
                dataclasses.replace(
                    service,
                    targets=max(1, round(service.targets * targets)),
                    slots=max(1, math.ceil(service.slots * slots)),
                    connections=max(8, round(service.connections * slots)),
                    service_ms=service.service_ms * service_time,
                )
                for service in self.services
            ),
        )

    def for_variant(self, variant: str) -> "Deployment":
        """Returns the deployment with the table rows of a variant."""
        if variant != "naive":
            return self
        return dataclasses.replace(
            self,
            kinds=tuple(
                dataclasses.replace(kind, retry_budget=NAIVE_RETRY_BUDGET)
                for kind in self.kinds
            ),
        )

    def service(self, name: str) -> Service:
        """Returns a service by its name."""
        return next(s for s in self.services if s.name == name)

    def capacity_per_s(self) -> float:
        """Returns the calls per second that the deepest service can serve."""
        deepest = self.service(self.deepest)
        mean_ms = deepest.service_ms * math.exp(SERVICE_TIME_SIGMA**2 / 2)
        return deepest.targets * deepest.slots * 1000 / mean_ms

    def table(self, version: int = 1) -> dict:
        """Returns the operators' table."""
        rows = [
            {
                "caller": kind.caller,
                "kind": kind.name,
                "weight": kind.weight,
                "idempotent": kind.idempotent,
                "deadline_ms": kind.deadline_ms,
                "retry_budget": kind.retry_budget,
            }
            for kind in self.kinds
        ]
        # Nested calls that a target sends without a context header name neither
        # caller nor kind, so they match only this row.
        rows.append(
            {
                "caller": "*",
                "kind": "*",
                "weight": 5,
                "idempotent": False,
                "deadline_ms": 3_000,
                "retry_budget": 0,
            }
        )
        # The fake target returns 503 only for requests that it did not run.
        services = {s.name: {"not_run_statuses": [503]} for s in self.services}
        return {
            "version": version,
            "important_weight": self.important_weight,
            "rows": rows,
            "services": services,
        }

    def table_text(self, version: int = 1) -> str:
        """Returns the table as the platform serves it."""
        return json.dumps(self.table(version))


SKOVGAARD = Deployment(
    name="skovgaard",
    region="dk-east",
    failure_domains=("dk-east-1", "dk-east-2", "dk-east-3"),
    services=(
        Service("katalog", 4, 80, 570, 5),
        Service("ordre", 3, 100, 720, 5),
        Service("proof", 3, 100, 720, 10),
        Service("presse", 3, 25, 250, 40),
    ),
    # At three times the capacity, the important kinds alone still need less
    # than the capacity.
    kinds=(
        Kind("family", "browse", "GET", "katalog", "/browse", 10, True, 0.80),
        Kind("shop", "order", "POST", "ordre", "/order", 90, False, 0.13),
        Kind(
            "undertaker", "cancel", "POST", "ordre", "/cancel", 85, False, 0.07
        ),
    ),
    deepest="presse",
    address_prefix="127.0.1",
)

UMURAGE = Deployment(
    name="umurage",
    region="kigali",
    failure_domains=("kigali-1", "kigali-2", "kigali-3"),
    services=(
        Service("catalogue", 5, 70, 510, 5),
        Service("payments", 4, 90, 620, 10),
        Service("fittings", 3, 110, 780, 5),
        Service("reservations", 3, 35, 310, 40),
    ),
    kinds=(
        Kind(
            "tourist", "browse", "GET", "catalogue", "/browse", 10, True, 0.70
        ),
        Kind(
            "stylist", "upload", "POST", "fittings", "/upload", 30, True, 0.10
        ),
        Kind(
            "bride", "reserve", "POST", "fittings", "/reserve", 80, False, 0.10
        ),
        Kind(
            "stylist",
            "deposit",
            "POST",
            "payments",
            "/deposit",
            90,
            False,
            0.10,
        ),
    ),
    deepest="reservations",
    address_prefix="127.0.2",
)
