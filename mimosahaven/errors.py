"""Base exception of the package."""

from mimosahaven import codes


class MimosahavenError(Exception):
    """An error with a numbered result code.

    Attributes:
      code: The result code.
    """

    def __init__(self, code: codes.Code, detail: str = ""):
        text = detail or codes.describe(code).text
        super().__init__(f"{int(code)} {code.name}: {text}")
        self.code = code
        self.detail = text


class SettingsError(MimosahavenError):
    """Invalid settings.

    Attributes:
      faults: One line for each fault: file, field, value and what is
        allowed.
    """

    def __init__(self, faults: list[str]):
        super().__init__(codes.Code.SETTINGS_INVALID, "; ".join(faults))
        self.faults = faults
