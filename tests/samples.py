"""Sample values shared by tests."""

from mimosahaven import settings as settings_lib


def make_settings(**sections) -> settings_lib.Settings:
    """Returns settings; each section is a mapping of fields to change."""
    target = {
        "name": "katalog-1",
        "service": "katalog",
        "failure_domain": "z1",
        "region": "dk",
        "endpoint": {"host": "127.0.0.1", "port": 1},
        **sections.pop("target", {}),
    }
    endpoint = {"host": "127.0.0.1", "port": 2}
    return settings_lib.Settings.model_validate(
        {"target": target, "entry": endpoint, "link": endpoint, **sections}
    )
