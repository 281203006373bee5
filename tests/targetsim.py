"""Event loop of one queueing target behind Admission."""

import collections
import dataclasses
import heapq
import itertools
import random

from mimosahaven import admission
from mimosahaven import settings as settings_lib

SLOTS = 40
SERVICE_MS = 50.0
CAPACITY_PER_S = SLOTS * 1000 / SERVICE_MS
BUCKET_MS = 250


def make_settings(slots=SLOTS, name="t", **parts) -> settings_lib.Settings:
    endpoint = {"host": "127.0.0.1", "port": 1}
    target = {"name": name, "service": "s", "failure_domain": "d"}
    target |= {"endpoint": endpoint, "slots": slots}
    raw = {"target": target, "entry": endpoint, "link": endpoint} | parts
    return settings_lib.Settings.model_validate(raw)


@dataclasses.dataclass
class Load:
    """Poisson arrivals from start_ms to end_ms."""

    start_ms: float
    end_ms: float
    rate_per_s: float
    weight: int = 10
    deadline_ms: float = 1_000
    service_ms: float = SERVICE_MS


class TargetSimulation:
    """Runs loads against a target with SLOTS workers and an endless queue.

    The target ignores deadlines, so it also works on calls that have expired.
    """

    def __init__(self, settings, loads, seed=1, changes=()):
        self.admission = admission.AdmissionController(settings)
        self.workers = SLOTS
        self.slowness = 1.0
        self.events = []
        self.order = itertools.count()
        self.backlog = collections.deque()
        self.good = {True: collections.Counter(), False: collections.Counter()}
        self.trace = []
        self.work = {}
        self.end_ms = max(load.end_ms for load in loads)
        self.busy = 0
        for index, load in enumerate(loads):
            # A load has the same arrivals whatever other loads there are.
            rng = random.Random(f"{seed}/{index}")
            self.at(load.start_ms, self.arrive, load, rng)
        for time_ms, name, value in changes:
            self.at(time_ms, lambda now, n, v: setattr(self, n, v), name, value)
        self.at(0.0, self.tick)
        while self.events:
            now_ms, _, (action, *arguments) = heapq.heappop(self.events)
            if now_ms > self.end_ms:
                break
            action(now_ms, *arguments)

    def at(self, time_ms, *action):
        heapq.heappush(self.events, (time_ms, next(self.order), action))

    def tick(self, now_ms):
        self.apply(self.admission.tick(now_ms), now_ms)
        adm = self.admission
        self.trace.append((now_ms, adm.threshold(now_ms), adm.limit))
        self.at(now_ms + 20, self.tick)

    def arrive(self, now_ms, load, rng):
        next_ms = now_ms + rng.expovariate(load.rate_per_s / 1000)
        if next_ms < load.end_ms:
            self.at(next_ms, self.arrive, load, rng)
        priority = load.weight * 65536 + rng.randrange(65536)
        deadline_ms = now_ms + load.deadline_ms
        ticket = admission.AdmissionRequest(
            "c", priority, load.weight >= 50, deadline_ms
        )
        self.work[ticket] = rng.expovariate(1 / load.service_ms)
        self.apply(self.admission.offer(ticket, now_ms), now_ms)

    def apply(self, verdicts, now_ms):
        for ticket, _ in verdicts.refused:
            del self.work[ticket]
        self.backlog.extend((t, now_ms) for t in verdicts.run)
        self.serve(now_ms)

    def serve(self, now_ms):
        while self.backlog and self.busy < self.workers:
            self.busy += 1
            ticket, sent_ms = self.backlog.popleft()
            done_ms = now_ms + self.work.pop(ticket) * self.slowness
            self.at(done_ms, self.complete, ticket, sent_ms)

    def complete(self, now_ms, ticket, sent_ms):
        self.busy -= 1
        outcome = admission.Outcome.TIMEOUT
        if now_ms <= ticket.deadline_ms:
            outcome = admission.Outcome.OK
            self.good[ticket.important][int(now_ms // BUCKET_MS)] += 1
        took_ms = now_ms - sent_ms
        self.apply(
            self.admission.finish(ticket, outcome, took_ms, now_ms), now_ms
        )

    def goodput_per_s(self, start_ms, end_ms, kinds=(True, False)):
        buckets = range(int(start_ms // BUCKET_MS), int(end_ms // BUCKET_MS))
        total = sum(self.good[kind][b] for kind in kinds for b in buckets)
        return total * 1000 / (end_ms - start_ms)
