"""Tests of mimosahaven.settingsdoc."""

import pathlib

import pydantic
import testtools
from testtools import matchers

from mimosahaven import settings as settings_lib
from mimosahaven import settingsdoc
from tests import samples

DOCUMENT = pathlib.Path(__file__).parent.parent / "docs" / "OPERATIONS.md"


class ReferenceTest(testtools.TestCase):
    def test_document_is_current(self):
        # Run `python -m mimosahaven.settingsdoc` when this fails.
        text = DOCUMENT.read_text(encoding="utf-8")
        self.assertThat(
            settingsdoc.update_document(text), matchers.Equals(text)
        )

    def test_every_setting_has_a_description(self):
        for line in settingsdoc.reference_lines():
            self.assertThat(line, matchers.Not(matchers.EndsWith("|  |")))

    def test_no_description_without_a_setting(self):
        text = "\n".join(settingsdoc.reference_lines())
        for path in settingsdoc.DESCRIPTIONS:
            self.assertThat(text, matchers.Contains(f"| `{path}` |"))

    def test_units_and_bounds(self):
        class Model(settings_lib.SettingsModel):
            wait_ms: settings_lib.PositiveMs = 1_500
            on: bool = False
            name: str

        self.assertThat(
            settingsdoc.reference_lines(Model)[2:],
            matchers.Equals(
                [
                    "| `wait_ms` | 1,500 | ms | > 0, <= 3,600,000 |  |",
                    "| `on` | off | switch |  |  |",
                    "| `name` | required | text |  |  |",
                ]
            ),
        )

    def test_document_without_markers_is_refused(self):
        self.assertRaises(
            ValueError, settingsdoc.update_document, "# Operations"
        )

    def test_every_default_is_allowed(self):
        # pydantic does not check defaults: one was above its own upper bound.
        defaults = samples.make_settings().model_dump()
        settings_lib.Settings.model_validate(defaults)

        class InvalidDefault(settings_lib.SettingsModel):
            size: settings_lib.Count = 99_999_999

        self.assertRaises(
            pydantic.ValidationError,
            InvalidDefault.model_validate,
            InvalidDefault().model_dump(),
        )
