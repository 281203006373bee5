"""Client library for callers: sends requests and retries them safely."""

import asyncio
import dataclasses
import random

import aiohttp

from mimosahaven import clock
from mimosahaven import codes
from mimosahaven import entry as entry_lib
from mimosahaven import targetclient

RunState = codes.RunState

# Shorter than the validity window of an action id.
ACTION_ID_MAX_AGE_MS = 60_000


class ClientError(Exception):
    """No entry responded; whether the request ran is unknown.

    Attributes:
      action_id: Action id to use for a retry, or empty if there is none.
    """

    def __init__(self, action_id: str):
        super().__init__(f"no response for action {action_id or '(none)'}")
        self.action_id = action_id


@dataclasses.dataclass(frozen=True)
class ClientSettings:
    """Settings of a client.

    Attributes:
      entries: Base addresses of entries, for example `http://127.0.0.1:80`.
      caller: Name of the caller in the table.
      timeout_ms: Timeout for one attempt.
      resends: Maximum number of retries of a request.
      backoff_ms: Mean delay before the first retry; it doubles with each
        further retry.
    """

    entries: tuple[str, ...]
    caller: str
    timeout_ms: float = 3_000
    resends: int = 2
    backoff_ms: float = 100


@dataclasses.dataclass(frozen=True)
class Response:
    """Response of an entry.

    Attributes:
      code: Result code, or None if the response has no known one.
      run_state: Whether the request ran.
    """

    status: int
    code: codes.Code | None
    run_state: RunState
    body: bytes
    action_id: str


class Client:
    """Sends each request under one action id, through several entries.

    A request that may have run is only retried under the same action id. A
    new id is used when every attempt so far was refused as not run.
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
        self._next_action_id = ""
        self._issued_ms = 0.0

    async def send(
        self, kind: str, method: str, path: str, body: bytes = b""
    ) -> Response:
        """Sends a request until it has run or the retries are used up.

        Args:
          kind: Kind of request in the table.
          method: HTTP method.
          path: `/<service>/<path>`.
          body: Body of the request.

        Returns:
          The last response.

        Raises:
          ClientError: No entry responded.
        """
        entries = self._rng.sample(
            self._settings.entries, len(self._settings.entries)
        )
        action_id, response, may_have_run = "", None, False
        for retry_number in range(self._settings.resends + 1):
            if retry_number:
                await self._back_off(retry_number)
            entry = entries[retry_number % len(entries)]
            try:
                action_id = action_id or await self._take_action_id(entry)
                response = await self._send(
                    entry, kind, method, path, body, action_id
                )
            except (aiohttp.ClientError, OSError, TimeoutError):
                # Without an action id the request was not sent.
                may_have_run = may_have_run or bool(action_id)
                continue
            if response.run_state is RunState.RAN:
                return response
            if response.run_state is RunState.NOT_RUN and not may_have_run:
                action_id = ""
            else:
                may_have_run = True
        if response is None:
            raise ClientError(action_id)
        return response

    async def _back_off(self, retry_number: int) -> None:
        mean_ms = self._settings.backoff_ms * 2 ** (retry_number - 1)
        await asyncio.sleep(mean_ms * self._rng.uniform(0.5, 1.5) / 1000)

    async def _take_action_id(self, entry: str) -> str:
        """Returns an unused action id, if possible from the last response."""
        action_id, self._next_action_id = self._next_action_id, ""
        age_ms = clock.monotonic_ms() - self._issued_ms
        if action_id and age_ms < ACTION_ID_MAX_AGE_MS:
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
            self._next_action_id = response.headers.get(
                entry_lib.NEXT_ACTION_HEADER, ""
            )
            self._issued_ms = clock.monotonic_ms()
            return _make_response(response, data, action_id)

    def _timeout(self) -> aiohttp.ClientTimeout:
        return aiohttp.ClientTimeout(total=self._settings.timeout_ms / 1000)


def _make_response(
    response: aiohttp.ClientResponse, data: bytes, action_id: str
) -> Response:
    code_number = int(response.headers.get(entry_lib.CODE_HEADER, 0))
    known = code_number in codes.Code.__members__.values()
    try:
        state = RunState(response.headers.get(entry_lib.RUN_HEADER, ""))
    except ValueError:
        # The response is not from a daemon, so the run state is unknown.
        state = RunState.UNKNOWN
    return Response(
        response.status,
        codes.Code(code_number) if known else None,
        state,
        data,
        action_id,
    )
