"""Helper for callers: sends requests and sends them again safely."""

import asyncio
import dataclasses
import random

import aiohttp

from mimosahaven import clock
from mimosahaven import codes
from mimosahaven import entry as entry_lib
from mimosahaven import targetclient

RunState = codes.RunState

# Shorter than the window in which an action id is valid.
ACTION_KEPT_MS = 60_000


class ClientError(Exception):
    """No entry has answered; whether the request ran is unknown.

    Attributes:
      action_id: Action id to send again with, or empty when there is none.
    """

    def __init__(self, action_id: str):
        super().__init__(f"no answer for action {action_id or '(none)'}")
        self.action_id = action_id


@dataclasses.dataclass(frozen=True)
class ClientSettings:
    """Settings of a client.

    Attributes:
      entries: Base addresses of entries, for example `http://127.0.0.1:80`.
      caller: Name of the caller in the table.
      timeout_ms: Time for one send.
      resends: How often a request is sent again.
      backoff_ms: Mean pause before the first re-send; each further one
        doubles it.
    """

    entries: tuple[str, ...]
    caller: str
    timeout_ms: float = 3_000
    resends: int = 2
    backoff_ms: float = 100


@dataclasses.dataclass(frozen=True)
class Response:
    """What an entry answered.

    Attributes:
      code: Result code, or None when the answer has none.
      run_state: Whether the request ran.
    """

    status: int
    code: codes.Code | None
    run_state: RunState
    body: bytes
    action_id: str


class Client:
    """Sends requests under one action id each, through several entries.

    A request that may have run is only sent again under its own action id.
    A new id is taken when every send so far was refused as not run.
    """

    def __init__(
        self,
        settings: ClientSettings,
        session: aiohttp.ClientSession,
        rng: random.Random,
    ):
        self._settings = settings
        self._session = session
        self._rng = rng
        self._next_action = ""
        self._issued_ms = 0.0

    async def send(
        self, kind: str, method: str, path: str, body: bytes = b""
    ) -> Response:
        """Sends a request until it has run or the re-sends are used up.

        Args:
          kind: Kind of request in the table.
          method: HTTP method.
          path: `/<service>/<path>`.
          body: Body of the request.

        Returns:
          The last answer.

        Raises:
          ClientError: No entry has answered.
        """
        entries = self._rng.sample(
            self._settings.entries, len(self._settings.entries)
        )
        action_id, answer, unanswered = "", None, False
        for number in range(self._settings.resends + 1):
            if number:
                await self._pause(number)
            entry = entries[number % len(entries)]
            try:
                action_id = action_id or await self._take_action(entry)
                answer = await self._send(
                    entry, kind, method, path, body, action_id
                )
            except (aiohttp.ClientError, OSError, TimeoutError):
                # Without an action id the request was not sent at all.
                unanswered = unanswered or bool(action_id)
                continue
            if answer.run_state is RunState.RAN:
                return answer
            if answer.run_state is RunState.NOT_RUN and not unanswered:
                action_id = ""
            else:
                unanswered = True
        if answer is None:
            raise ClientError(action_id)
        return answer

    async def _pause(self, number: int) -> None:
        mean_ms = self._settings.backoff_ms * 2 ** (number - 1)
        await asyncio.sleep(mean_ms * self._rng.uniform(0.5, 1.5) / 1000)

    async def _take_action(self, entry: str) -> str:
        """Returns an unused action id, if possible from the last answer."""
        action_id, self._next_action = self._next_action, ""
        age_ms = clock.monotonic_ms() - self._issued_ms
        if action_id and age_ms < ACTION_KEPT_MS:
            return action_id
        async with self._session.post(
            f"{entry}/-/actions", timeout=self._timeout()
        ) as response:
            response.raise_for_status()
            return response.headers[entry_lib.NEXT_ACTION_HEADER]

    async def _send(
        self,
        entry: str,
        kind: str,
        method: str,
        path: str,
        body: bytes,
        action_id: str,
    ) -> Response:
        headers = {
            entry_lib.CALLER_HEADER: self._settings.caller,
            entry_lib.KIND_HEADER: kind,
            entry_lib.ACTION_HEADER: action_id,
            targetclient.DEADLINE_HEADER: f"{self._settings.timeout_ms:.0f}",
        }
        async with self._session.request(
            method,
            entry + path,
            data=body or None,
            headers=headers,
            timeout=self._timeout(),
        ) as response:
            data = await response.read()
            self._next_action = response.headers.get(
                entry_lib.NEXT_ACTION_HEADER, ""
            )
            self._issued_ms = clock.monotonic_ms()
            return _answer(response, data, action_id)

    def _timeout(self) -> aiohttp.ClientTimeout:
        return aiohttp.ClientTimeout(total=self._settings.timeout_ms / 1000)


def _answer(
    response: aiohttp.ClientResponse, data: bytes, action_id: str
) -> Response:
    number = int(response.headers.get(entry_lib.CODE_HEADER, 0))
    known = number in codes.Code.__members__.values()
    try:
        state = RunState(response.headers.get(entry_lib.RUN_HEADER, ""))
    except ValueError:
        # An answer that is not the daemon's tells nothing.
        state = RunState.UNKNOWN
    return Response(
        response.status,
        codes.Code(number) if known else None,
        state,
        data,
        action_id,
    )
