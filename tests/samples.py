"""Sample values shared by tests."""

from mimosahaven import settings as settings_lib


def make_settings(**parts) -> settings_lib.Settings:
    """Returns settings; each part is a mapping of fields to change."""
    target = {
        "name": "katalog-1",
        "service": "katalog",
        "failure_domain": "z1",
        "region": "dk",
        "endpoint": {"host": "127.0.0.1", "port": 1},
        **parts.pop("target", {}),
    }
    port = {"host": "127.0.0.1", "port": 2}
    return settings_lib.Settings.model_validate(
        {"target": target, "entry": port, "link": port, **parts}
    )
