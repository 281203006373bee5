"""Records of at-most-once sends, which answer inquiries about them.

A send without a record has not arrived only if its record would still exist.
After a restart, or once old records have been discarded, this is unknown.
Therefore records belong to generations, each send names the generation in
which it is recorded, and an inquiry names it again. This depends neither on
clocks nor on how long a message was in transit.
"""

import asyncio
import collections
import dataclasses
import enum

from mimosahaven.mesh import frames

# A new generation begins at this interval.
GENERATION_MS = 20_000.0
# Generations that are kept, including the current one: a record is available
# for at least twice the interval, longer than most requests live.
GENERATIONS_KEPT = 3
# A generation with this many records is followed by the next one at once.
GENERATION_RECORDS_MAX = 20_000


class Arrival(enum.Enum):
    """How an arriving send is handled.

    Attributes:
      NEW: It is recorded and may run.
      BARRED: It was barred by an inquiry and must not run.
      RECORDED: It has arrived before and must not run again.
      UNKNOWN: The records that would show whether it has arrived before are
        lost; it must not run.
    """

    NEW = enum.auto()
    BARRED = enum.auto()
    RECORDED = enum.auto()
    UNKNOWN = enum.auto()


@dataclasses.dataclass(slots=True)
class SendRecord:
    """Record of an at-most-once send.

    Attributes:
      outcome: Future of its outcome; None if the send is barred, that is,
        refused should it still arrive.
    """

    outcome: asyncio.Future | None


class SendRecords:
    """The records of the at-most-once sends to one target.

    Args:
      incarnation: Incarnation of the daemon.
      now_ms: Current time.

    Attributes:
      current: Generation in which the next sends are to be recorded.
    """

    def __init__(self, incarnation: str, now_ms: float):
        self.current = frames.RecordGeneration(incarnation, 1)
        self._started_ms = now_ms
        self._generations: collections.OrderedDict[
            frames.RecordGeneration, dict[str, SendRecord]
        ] = collections.OrderedDict({self.current: {}})

    def __len__(self) -> int:
        return sum(map(len, self._generations.values()))

    def add(
        self,
        send_id: str,
        generation: frames.RecordGeneration | None,
        outcome: asyncio.Future,
    ) -> Arrival:
        """Records a send that has arrived.

        Args:
          send_id: ID of the send.
          generation: Generation that the send names; None if its sender knows
            no generations.
          outcome: Future of the outcome.
        """
        if generation is None:
            generation = self.current
            record = self._find(send_id)
        elif generation in self._generations:
            record = self._generations[generation].get(send_id)
        else:
            return Arrival.UNKNOWN
        if record is not None:
            is_barred = record.outcome is None
            return Arrival.BARRED if is_barred else Arrival.RECORDED
        self._generations[generation][send_id] = SendRecord(outcome)
        return Arrival.NEW

    def inquire(
        self, send_id: str, generation: frames.RecordGeneration | None
    ) -> SendRecord | None:
        """Returns the record of a send; bars one that has not arrived.

        Args:
          send_id: ID of the send.
          generation: Generation that the send named.

        Returns:
          The record; None if the send may have arrived without a record of it
          being left.
        """
        if generation is None:
            # The send may have been meant for an earlier incarnation, which a
            # bar of this one says nothing about.
            record = self._find(send_id) or self._bar(send_id, self.current)
            return None if record.outcome is None else record
        records = self._generations.get(generation)
        if records is None:
            return None
        return records.get(send_id) or self._bar(send_id, generation)

    def tick(self, now_ms: float) -> list[SendRecord]:
        """Begins a new generation when it is due, and discards the oldest.

        Returns:
          The discarded records.
        """
        is_old = now_ms - self._started_ms >= GENERATION_MS
        is_full = len(self._generations[self.current]) >= GENERATION_RECORDS_MAX
        if not is_old and not is_full:
            return []
        self._started_ms = now_ms
        self.current = frames.RecordGeneration(
            self.current.incarnation, self.current.number + 1
        )
        self._generations[self.current] = {}
        if len(self._generations) <= GENERATIONS_KEPT:
            return []
        _, discarded = self._generations.popitem(last=False)
        return list(discarded.values())

    def _bar(
        self, send_id: str, generation: frames.RecordGeneration
    ) -> SendRecord:
        record = SendRecord(None)
        self._generations[generation][send_id] = record
        return record

    def _find(self, send_id: str) -> SendRecord | None:
        for records in self._generations.values():
            if send_id in records:
                return records[send_id]
        return None
