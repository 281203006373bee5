"""Fake platform: serves documents over HTTP and injects faults."""

import asyncio
import contextlib
import dataclasses
import socket

import click
import falcon
import falcon.asgi
import json5
import msgspec
import uvicorn
from uvicorn.protocols.http import httptools_impl

from mimosahaven import listening

TABLE = "table"
LIST = "vms"
DOCUMENT_BYTES_MAX = 1_048_576
DOCUMENT_PREFIX = b"/v1/"


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Injected faults; `PUT /control` sets those that it names.

    Attributes:
      outage: "" for none; "refuse" resets connections that read or write
        documents; "hang" leaves reads without a response.
      frozen_table_version: Version of an earlier table that is served
        instead of the newest one, or null.
      frozen_list_version: The same for the list of VMs.
      list_lag_ms: Delay until an uploaded list becomes visible.
    """

    outage: str = ""
    frozen_table_version: int | None = None
    frozen_list_version: int | None = None
    list_lag_ms: float = 0.0

    def __post_init__(self):
        if self.outage not in ("", "refuse", "hang"):
            raise ValueError('outage must be "", "refuse" or "hang"')

    def frozen_version(self, name: str) -> int | None:
        """Returns the version at which a document is frozen, or None."""
        if name == TABLE:
            return self.frozen_table_version
        return self.frozen_list_version


@dataclasses.dataclass
class Counters:
    """Numbers of document reads since the start; a watch is one read.

    Attributes:
      calls: All reads, including those during an outage.
      refused: Reads that were reset by the outage "refuse".
      waiting: Pending watches, including those of disconnected readers.
    """

    calls: int = 0
    refused: int = 0
    waiting: int = 0


@dataclasses.dataclass
class Document:
    """All versions of one document.

    Attributes:
      texts: Texts by version, including those that are not visible yet.
      newest: Newest visible version, or 0 for none.
    """

    texts: dict[int, str] = dataclasses.field(default_factory=dict)
    newest: int = 0


class PlatformState:
    """Documents, faults and counters of the fake platform."""

    def __init__(self):
        self.documents = {TABLE: Document(), LIST: Document()}
        self.faults = Faults()
        self.counters = Counters()
        self.connections: set[PlatformProtocol] = set()
        self._changed = asyncio.Event()

    def put(self, name: str, version: int, text: str) -> None:
        """Stores a document; a list becomes visible after `list_lag_ms`."""
        self.documents[name].texts[version] = text
        lag_ms = self.faults.list_lag_ms if name == LIST else 0.0
        if lag_ms:
            loop = asyncio.get_running_loop()
            loop.call_later(lag_ms / 1000, self._make_visible, name, version)
        else:
            self._make_visible(name, version)

    def set_faults(self, changes: dict) -> None:
        """Sets the named faults.

        Raises:
          ValueError: A fault is unknown or has an invalid value.
        """
        faults = msgspec.convert(
            msgspec.structs.asdict(self.faults) | changes, Faults
        )
        for name, document in self.documents.items():
            version = faults.frozen_version(name)
            if version is not None and version not in document.texts:
                raise ValueError(f"{name} has no version {version}")
        self.faults = faults
        if faults.outage == "refuse":
            for connection in list(self.connections):
                connection.transport.abort()
        self._notify()

    async def read(self, name: str, after: int, wait_ms: float) -> str | None:
        """Returns the document once its version is greater than `after`.

        Args:
          name: TABLE or LIST.
          after: Version that the reader already has.
          wait_ms: Maximum time to wait for a newer version.

        Returns:
          The text, or None if no newer version appeared in time.
        """
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + wait_ms / 1000
        self.counters.waiting += 1
        try:
            while True:
                is_hanging = self.faults.outage == "hang"
                text = None if is_hanging else self._newer_text(name, after)
                remaining_s = deadline_s - loop.time()
                if text is not None or (remaining_s <= 0 and not is_hanging):
                    return text
                await self._wait_for_change(None if is_hanging else remaining_s)
        finally:
            self.counters.waiting -= 1

    def _newer_text(self, name: str, after: int) -> str | None:
        document = self.documents[name]
        frozen_version = self.faults.frozen_version(name)
        version = document.newest if frozen_version is None else frozen_version
        return document.texts[version] if version > after else None

    async def _wait_for_change(self, seconds: float | None) -> None:
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._changed.wait(), seconds)

    def _make_visible(self, name: str, version: int) -> None:
        self.documents[name].newest = version
        self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


class PlatformProtocol(httptools_impl.HttpToolsProtocol):
    """HTTP protocol that resets connections during the outage "refuse"."""

    state: PlatformState

    def connection_lost(self, exc):
        """Removes the connection from the open connections."""
        self.state.connections.discard(self)
        super().connection_lost(exc)

    def on_headers_complete(self):
        """Resets a document connection during the outage "refuse"."""
        if self.url.startswith(DOCUMENT_PREFIX):
            self.state.connections.add(self)
            if self.state.faults.outage == "refuse":
                self.state.counters.calls += 1
                self.state.counters.refused += 1
                self.transport.abort()
                return
        super().on_headers_complete()

    def on_body(self, body):
        """Ignores the body if the connection was reset."""
        if self.cycle is not None:
            super().on_body(body)

    def on_message_complete(self):
        """Ignores the end of the request if the connection was reset."""
        if self.cycle is not None:
            super().on_message_complete()


class DocumentResource:
    """HTTP resource for reading, watching and writing one document."""

    def __init__(self, state: PlatformState, name: str):
        self._state = state
        self._name = name

    async def on_get(self, req, resp):
        """Responds with 200 and a newer document, or with 204."""
        self._state.counters.calls += 1
        after = req.get_param_as_int("after", default=0)
        wait_ms = req.get_param_as_float("wait_ms", default=0.0)
        text = await self._state.read(self._name, after, wait_ms)
        if text is None:
            resp.status = falcon.HTTP_204
        else:
            resp.content_type = falcon.MEDIA_TEXT
            resp.text = text

    async def on_put(self, req, resp):
        """Stores a document.

        The query parameter `version` overrides the version in the text, so
        that a text that cannot be parsed can be stored too.
        """
        data = await req.stream.read(DOCUMENT_BYTES_MAX + 1)
        if len(data) > DOCUMENT_BYTES_MAX:
            raise falcon.HTTPContentTooLarge()
        text = data.decode("utf-8", "replace")
        version = req.get_param_as_int("version", min_value=1)
        if version is None:
            version = _version_of(text)
        self._state.put(self._name, version, text)
        resp.status = falcon.HTTP_204


class ControlResource:
    """HTTP resource for the faults and counters."""

    def __init__(self, state: PlatformState):
        self._state = state

    async def on_get(self, req, resp):
        """Responds with the counters and the faults."""
        resp.media = dataclasses.asdict(self._state.counters) | {
            "faults": msgspec.structs.asdict(self._state.faults)
        }

    async def on_put(self, req, resp):
        """Sets the named faults; the others stay unchanged."""
        try:
            self._state.set_faults(await req.get_media())
        except (ValueError, TypeError) as error:
            raise falcon.HTTPBadRequest(description=str(error)) from error
        resp.status = falcon.HTTP_204


def _version_of(text: str) -> int:
    try:
        version = json5.loads(text)["version"]
    except (ValueError, TypeError, KeyError) as error:
        raise falcon.HTTPBadRequest(
            description="document has no version; add ?version=N to the URL"
        ) from error
    if not isinstance(version, int) or version < 1:
        raise falcon.HTTPBadRequest(
            description="document version must be an integer of at least 1"
        )
    return version


def make_app(state: PlatformState) -> falcon.asgi.App:
    """Returns the ASGI application."""
    app = falcon.asgi.App()
    app.add_route("/v1/table", DocumentResource(state, TABLE))
    app.add_route("/v1/vms", DocumentResource(state, LIST))
    app.add_route("/control", ControlResource(state))
    return app


async def serve(listener: socket.socket) -> None:
    """Serves on a listening socket until SIGTERM or SIGINT."""
    state = PlatformState()
    protocol = type("Protocol", (PlatformProtocol,), {"state": state})
    config = uvicorn.Config(
        make_app(state),
        http=protocol,
        loop="asyncio",
        lifespan="off",
        log_level="warning",
        timeout_graceful_shutdown=1,
    )
    await uvicorn.Server(config).serve(sockets=[listener])


@click.command()
@click.option("--host", default="127.0.0.1", help="IP address to bind.")
@click.option(
    "--port", default=0, help="Port to bind; 0 lets the kernel assign one."
)
def main(host: str, port: int) -> None:
    """Runs the fake platform and prints "HOST:PORT" once it listens.

    Example: python -m mimosahaven.testing.platform --port 7000
    """
    listener = listening.bind(host, port)
    listener.listen(1024)
    print("{}:{}".format(*listener.getsockname()), flush=True)
    asyncio.run(serve(listener))


if __name__ == "__main__":
    main()
