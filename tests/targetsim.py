"""Discrete-event simulation of one target behind admission control."""

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
    """Runs loads against a target with SLOTS workers and an unbounded queue.

    The target ignores deadlines, so it also processes expired calls.

    Args:
      settings: Settings of the admission controller.
      loads: Loads to run; the simulation ends with the last one.
      seed: Seed of the arrivals, priorities and service times.
      changes: Attributes to set during the run, as (time in ms, name, value).
    """

    def __init__(self, settings, loads, seed=1, changes=()):
        self.admission = admission.AdmissionController(settings)
        self.workers = SLOTS
        self.slowness = 1.0
        self.events = []
        self.event_numbers = itertools.count()
        self.backlog = collections.deque()
        self.completed_in_time = {
            True: collections.Counter(),
            False: collections.Counter(),
        }
        self.trace = []
        self.service_times_ms = {}
        self.stop_ms = max(load.end_ms for load in loads)
        self.busy_workers = 0
        for index, load in enumerate(loads):
            # A generator per load, so that its arrivals do not depend on the
            # other loads.
            rng = random.Random(f"{seed}/{index}")
            self.schedule(load.start_ms, self.arrive, load, rng)
        for time_ms, name, value in changes:
            self.schedule(
                time_ms, lambda now, n, v: setattr(self, n, v), name, value
            )
        self.schedule(0.0, self.tick)
        while self.events:
            now_ms, _, (action, *arguments) = heapq.heappop(self.events)
            if now_ms > self.stop_ms:
                break
            action(now_ms, *arguments)

    def schedule(self, time_ms, *action):
        heapq.heappush(self.events, (time_ms, next(self.event_numbers), action))

    def tick(self, now_ms):
        self.apply(self.admission.tick(now_ms), now_ms)
        controller = self.admission
        self.trace.append(
            (now_ms, controller.threshold(now_ms), controller.limit)
        )
        self.schedule(now_ms + 20, self.tick)

    def arrive(self, now_ms, load, rng):
        next_ms = now_ms + rng.expovariate(load.rate_per_s / 1000)
        if next_ms < load.end_ms:
            self.schedule(next_ms, self.arrive, load, rng)
        priority = load.weight * 65536 + rng.randrange(65536)
        deadline_ms = now_ms + load.deadline_ms
        request = admission.AdmissionRequest(
            "c", priority, load.weight >= 50, deadline_ms
        )
        self.service_times_ms[request] = rng.expovariate(1 / load.service_ms)
        self.apply(self.admission.offer(request, now_ms), now_ms)

    def apply(self, decisions, now_ms):
        for request, _ in decisions.refused:
            del self.service_times_ms[request]
        self.backlog.extend((request, now_ms) for request in decisions.run)
        self.serve(now_ms)

    def serve(self, now_ms):
        while self.backlog and self.busy_workers < self.workers:
            self.busy_workers += 1
            request, sent_ms = self.backlog.popleft()
            done_ms = (
                now_ms + self.service_times_ms.pop(request) * self.slowness
            )
            self.schedule(done_ms, self.complete, request, sent_ms)

    def complete(self, now_ms, request, sent_ms):
        self.busy_workers -= 1
        outcome = admission.Outcome.TIMEOUT
        if now_ms <= request.deadline_ms:
            outcome = admission.Outcome.OK
            self.completed_in_time[request.important][
                int(now_ms // BUCKET_MS)
            ] += 1
        duration_ms = now_ms - sent_ms
        self.apply(
            self.admission.finish(request, outcome, duration_ms, now_ms), now_ms
        )

    def goodput_per_s(self, start_ms, end_ms, importance_values=(True, False)):
        buckets = range(int(start_ms // BUCKET_MS), int(end_ms // BUCKET_MS))
        total = sum(
            self.completed_in_time[important][b]
            for important in importance_values
            for b in buckets
        )
        return total * 1000 / (end_ms - start_ms)
