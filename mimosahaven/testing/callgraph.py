"""Call graph of the fake services."""

# Nested calls of each service and path, made sequentially. A path that is not
# listed is a leaf. Browse requests reach the deepest service too, so that they
# compete there with the important calls.
NESTED_CALLS: dict[str, dict[str, tuple[str, ...]]] = {
    "katalog": {"/browse": ("proof/preview",)},
    "ordre": {
        "/order": ("proof/render", "presse/print"),
        "/cancel": ("proof/discard", "presse/cancel"),
    },
    "proof": {"/preview": ("presse/stock",)},
    "catalogue": {"/browse": ("fittings/free",)},
    "payments": {"/deposit": ("fittings/hold",)},
    "fittings": {
        "/free": ("reservations/free",),
        "/upload": ("catalogue/photo", "reservations/attach"),
        "/reserve": ("catalogue/item", "reservations/reserve"),
        "/hold": ("reservations/hold",),
    },
}


def nested_calls(service: str, path: str) -> tuple[str, ...]:
    """Returns the nested calls of a path, each as `service/path`."""
    return NESTED_CALLS.get(service, {}).get(path, ())
