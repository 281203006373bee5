"""Calls that the fake services make to each other."""

# Nested calls of each service and path, made one after the other. A path
# that is not listed is a leaf. Browsing reaches the deepest service too, so
# that it competes there with the important calls.
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
    """Returns the nested calls of a path as `service/path`."""
    return NESTED_CALLS.get(service, {}).get(path, ())
