"""Detects requests that crash the targets that run them.

Such a request takes down one target after another: its caller retries it on
any VM, and each target that starts it crashes. Every daemon on the VM of a
target of the service counts the crashes during which a request was running, and
refuses requests that were involved in several crashes.

Targets also crash for other reasons, while many unrelated requests are
running. A crash therefore counts against a request only if the run started
after the previous crash counted against it was reported, and one success on any
target clears the count.
"""

import collections
import dataclasses

# Crashes after which a request is refused. The platform allows three retries
# after the third crash.
CRASHES_MAX = 3
# A request is refused for this long after its last crash, as in
# mimosahaven/quarantine.py.
QUARANTINE_MS = 600_000.0
# Maximum number of requests tracked; the least recently updated are evicted.
RECORDS_MAX = 10_000


@dataclasses.dataclass(slots=True)
class _Record:
    """Crashes of one request since its last success.

    Attributes:
      crash_count: Number of counted crashes.
      last_ms: Time at which the last of them was reported.
    """

    crash_count: int = 0
    last_ms: float = float("-inf")


class CrashTracker:
    """Counts crashes by the fingerprint of the running request."""

    def __init__(self):
        self._records: collections.OrderedDict[str, _Record] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._records)

    def is_quarantined(self, fingerprint: str, now_ms: float) -> bool:
        """Returns whether a request must be refused."""
        record = self._records.get(fingerprint)
        return (
            record is not None
            and record.crash_count >= CRASHES_MAX
            and now_ms - record.last_ms < QUARANTINE_MS
        )

    def record_crash(
        self, fingerprint: str, ran_ms: float, now_ms: float
    ) -> bool:
        """Records a crash during which a request was running.

        Args:
          fingerprint: Fingerprint of the request.
          ran_ms: Time for which it had been running.
          now_ms: Current time.

        Returns:
          Whether the crash counts against the request.
        """
        record = self._records.setdefault(fingerprint, _Record())
        self._records.move_to_end(fingerprint)
        if len(self._records) > RECORDS_MAX:
            self._records.popitem(last=False)
        if now_ms - ran_ms <= record.last_ms:
            return False
        if now_ms - record.last_ms >= QUARANTINE_MS:
            record.crash_count = 0
        record.crash_count += 1
        record.last_ms = now_ms
        return True

    def clear(self, fingerprint: str) -> bool:
        """Clears the crashes of a request; returns whether there were any."""
        return self._records.pop(fingerprint, None) is not None
