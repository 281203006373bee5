"""Requests that crash the targets that run them.

Answers the pattern "one request brings down target after target": its caller
sends it again, at any VM, and each target that begins it crashes. Every daemon
beside a target of the service counts the crashes in which a request was
running, and refuses what has been at several of them.

Targets also crash for other reasons, with many innocent requests running. So a
crash counts against a request only if that run began after the crash before
had been heard of, and one success anywhere clears it.
"""

import collections
import dataclasses

# The platform allows three retries after the third crash.
CRASHES_MAX = 3
# A request is refused for this long after its last crash; as in quarantine.py.
QUARANTINE_MS = 600_000.0
# Requests with strikes that are remembered; the oldest go first.
RECORDS_MAX = 10_000


@dataclasses.dataclass(slots=True)
class _Record:
    """Crashes of one request since its last success.

    Attributes:
      crashes: How many count.
      at_ms: When the last of them was heard of.
    """

    crashes: int = 0
    at_ms: float = float("-inf")


class CrashTracker:
    """Crashes by the fingerprint of the request that was running."""

    def __init__(self):
        self._records: collections.OrderedDict[str, _Record] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._records)

    def is_quarantined(self, fingerprint: str, now_ms: float) -> bool:
        """Returns whether a request is to be refused."""
        record = self._records.get(fingerprint)
        return (
            record is not None
            and record.crashes >= CRASHES_MAX
            and now_ms - record.at_ms < QUARANTINE_MS
        )

    def record_crash(
        self, fingerprint: str, ran_ms: float, now_ms: float
    ) -> bool:
        """Takes in a crash in which a request was running.

        Args:
          fingerprint: The request.
          ran_ms: How long it had been running.
          now_ms: Present time.

        Returns:
          Whether it counts.
        """
        record = self._records.setdefault(fingerprint, _Record())
        self._records.move_to_end(fingerprint)
        if len(self._records) > RECORDS_MAX:
            self._records.popitem(last=False)
        if now_ms - ran_ms <= record.at_ms:
            return False
        if now_ms - record.at_ms >= QUARANTINE_MS:
            record.crashes = 0
        record.crashes += 1
        record.at_ms = now_ms
        return True

    def clear(self, fingerprint: str) -> bool:
        """Takes in a success; returns whether there was anything to clear."""
        return self._records.pop(fingerprint, None) is not None
