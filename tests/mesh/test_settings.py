"""Tests of mimosahaven.mesh.settings."""

import pathlib
import tempfile

import testtools
from testtools import matchers

from mimosahaven import errors
from mimosahaven.mesh import settings as settings_lib

DOCUMENT = {
    "vm": "vm-1",
    "failure_domain": "a",
    "service": "katalog",
    "target": "10.0.0.1:80",
    "listen": {
        "callers": "10.0.0.1:1",
        "peers": {"host": "10.0.0.1", "port": 2},
        "readiness": "10.0.0.1:3",
    },
    "store": {"endpoint": "10.0.0.9:4"},
}


class ConvertTest(testtools.TestCase):
    def convert(self, **changes):
        return settings_lib.convert(
            DOCUMENT | changes, settings_lib.MeshSettings
        )

    def faults(self, **changes):
        error = self.assertRaises(
            errors.SettingsError, lambda: self.convert(**changes)
        )
        return error.faults

    def test_addresses_may_be_text_or_fields(self):
        settings = self.convert(seeds=["10.0.0.2:5"])
        address = settings_lib.Address(host="10.0.0.1", port=2)
        self.assertEqual(address, settings.listen.peers)
        self.assertEqual(5, settings.seeds[0].port)

    def test_defaults_are_allowed(self):
        # The defaults are not checked when a struct is created.
        settings = self.convert()
        sections = {
            name: getattr(settings, name)
            for name in ("headers", "bounds", "peers", "shedding", "pause")
        }
        for section in sections.values():
            fields = {f: getattr(section, f) for f in section.__struct_fields__}
            self.assertEqual(
                section, settings_lib.convert(fields, type(section))
            )

    def test_all_faults_are_reported_at_once(self):
        faults = self.faults(
            target="10.0.0.1",
            bounds={"grace_s": -1, "typo": 1},
            seeds=["host:5", "10.0.0.2:99999"],
            slots_default="many",
        )
        paths = [fault.partition(":")[0] for fault in faults]
        self.assertThat(
            paths,
            matchers.Equals(
                [
                    "target.port",
                    "seeds.0",
                    "seeds.1.port",
                    "slots_default",
                    "bounds.grace_s",
                    "bounds.typo",
                ]
            ),
        )

    def test_a_missing_field_is_reported(self):
        document = {k: v for k, v in DOCUMENT.items() if k != "service"}
        error = self.assertRaises(
            errors.SettingsError,
            settings_lib.convert,
            document,
            settings_lib.MeshSettings,
        )
        self.assertEqual(["service: missing"], error.faults)

    def test_unknown_sections_of_a_newer_platform_are_ignored(self):
        self.assertEqual("vm-1", self.convert(future={"a": 1}).vm)


class LoadTest(testtools.TestCase):
    def load(self, text):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "settings.json5"
            path.write_text(text)
            return settings_lib.load(path)

    def test_faults_name_the_file(self):
        for text in ("{", "[]", '{"vm": 1}', "{vm: " + "[" * 4_000):
            error = self.assertRaises(errors.SettingsError, self.load, text)
            for fault in error.faults:
                self.assertThat(fault, matchers.Contains("settings.json5: "))

    def test_a_missing_file_is_a_settings_error(self):
        self.assertRaises(
            errors.SettingsError, settings_lib.load, pathlib.Path("/none")
        )
