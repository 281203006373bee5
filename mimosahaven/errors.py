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
