"""Enforcement of the quarantine and detection of target crashes."""

import asyncio
from collections.abc import Callable

from mimosahaven import admission as admission_lib
from mimosahaven import clock
from mimosahaven import messages
from mimosahaven import quarantine as quarantine_lib
from mimosahaven import targetclient

QuarantineDecision = quarantine_lib.QuarantineDecision

# Interval at which a waiting suspect checks whether it may run.
ADMIT_POLL_MS = 10.0


class QuarantineEnforcer:
    """Applies the quarantine to the calls of the local target.

    Attributes:
      on_strikes: Called with the strikes to publish after a target crash.
      on_clear: Called with the message to publish when a call with a suspect
        fingerprint has succeeded.
    """

    def __init__(
        self,
        quarantine: quarantine_lib.Quarantine,
        target_client: targetclient.TargetClient,
    ):
        self._quarantine = quarantine
        self._target_client = target_client
        self._probe_task: asyncio.Task | None = None
        self.on_strikes: Callable[[list[messages.Strike]], None] = (
            lambda strikes: None
        )
        self.on_clear: Callable[[messages.Clear], None] = lambda clear: None

    def record_strikes(
        self, strikes: list[messages.Strike], now_ms: float
    ) -> None:
        """Records the strikes that were received with a call."""
        for strike in strikes:
            self._quarantine.record_strike(strike, now_ms)

    async def wait_until_allowed(
        self, fingerprint: str, deadline_ms: float
    ) -> bool:
        """Waits while another suspect runs, at most until the deadline.

        Returns:
          Whether the call may run.
        """
        while True:
            now_ms = clock.monotonic_ms()
            decision = self._quarantine.admit(fingerprint, now_ms)
            if decision is not QuarantineDecision.BUSY:
                return decision is not QuarantineDecision.REFUSE
            if now_ms >= deadline_ms:
                return False
            await asyncio.sleep(ADMIT_POLL_MS / 1000)

    def start_call(self, fingerprint: str, now_ms: float) -> bool:
        """Records that a call is dispatched; returns False if it may not run.

        While the call waited for admission, it may have become suspect, or
        another suspect may have started.
        """
        decision = self._quarantine.admit(fingerprint, now_ms)
        if decision in (QuarantineDecision.BUSY, QuarantineDecision.REFUSE):
            return False
        self._quarantine.record_start(fingerprint, now_ms)
        return True

    async def finish_call(
        self, fingerprint: str, complete: bool, outcome: admission_lib.Outcome
    ) -> list[messages.Strike]:
        """Records the end of a call that was started.

        Args:
          fingerprint: Fingerprint of the call.
          complete: Whether the target sent a complete response.
          outcome: How the call ended.

        Returns:
          The strikes of this fingerprint, if the target has crashed.
        """
        if complete:
            now_ms = clock.monotonic_ms()
            clear = self._quarantine.record_success(fingerprint, now_ms)
            if clear is not None:
                self.on_clear(clear)
            return []
        if outcome is admission_lib.Outcome.LOST:
            strikes = await self._probe_for_crash()
            if strikes is not None:
                return [s for s in strikes if s.fingerprint == fingerprint]
        self._quarantine.record_end(fingerprint)
        return []

    async def _probe_for_crash(self) -> list[messages.Strike] | None:
        """Probes the target, once for all calls that were lost together.

        The calls stay in flight until the probe has ended, so that each of
        them gets a strike.

        Returns:
          The strikes of the crash, or None if the target is up.
        """
        if self._probe_task is None:
            self._probe_task = asyncio.get_running_loop().create_task(
                self._probe_target()
            )
        return await asyncio.shield(self._probe_task)

    async def _probe_target(self) -> list[messages.Strike] | None:
        is_up = await self._target_client.accepts_connections()
        self._probe_task = None
        if is_up:
            return None
        strikes = self._quarantine.record_crash(clock.monotonic_ms())
        if strikes:
            self.on_strikes(strikes)
        return strikes
