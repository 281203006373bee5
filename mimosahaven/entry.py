"""HTTP endpoint for callers and for nested calls of the local target."""

import falcon
import falcon.asgi
from uvicorn.protocols.http import httptools_impl

from mimosahaven import codes
from mimosahaven import dispatch
from mimosahaven import incoming
from mimosahaven import targetclient

Code = codes.Code

CALLER_HEADER = "Mimosahaven-Caller"
KIND_HEADER = "Mimosahaven-Kind"
ACTION_HEADER = "Mimosahaven-Action"
NEXT_ACTION_HEADER = "Mimosahaven-Next-Action"
CODE_HEADER = "Mimosahaven-Code"
RUN_HEADER = "Mimosahaven-Run"
KEY_HEADER = "Idempotency-Key"

_STRIPPED_HEADERS = frozenset(
    name.lower().encode()
    for name in (
        CALLER_HEADER,
        KIND_HEADER,
        ACTION_HEADER,
        KEY_HEADER,
        targetclient.CONTEXT_HEADER,
        targetclient.DEADLINE_HEADER,
        *targetclient.HOP_HEADERS,
    )
)

# Sent when the HTTP parser fails; no part of the request is known then.
_BAD_REQUEST_RESPONSE = (
    "HTTP/1.1 400 Bad Request\r\n"
    f"{CODE_HEADER}: {int(Code.MALFORMED)}\r\n"
    f"{RUN_HEADER}: {codes.describe(Code.MALFORMED).run_state.value}\r\n"
    "Content-Length: 0\r\nConnection: close\r\n\r\n"
).encode()


class BodyTooLargeError(Exception):
    """The body of a request exceeds the size limit."""


class BodyTruncatedError(Exception):
    """The connection ended before the whole body had arrived."""


async def read_body(req: falcon.asgi.Request, max_bytes: int) -> bytes:
    """Reads the whole body of a request.

    Args:
      req: The request.
      max_bytes: Maximum size of the body.

    Raises:
      BodyTooLargeError: The body is larger than max_bytes.
      BodyTruncatedError: The body is shorter than its Content-Length.
    """
    length = req.content_length
    if length is not None and length > max_bytes:
        raise BodyTooLargeError
    if length == 0:
        return b""
    if length is None and req.get_header("Transfer-Encoding") is None:
        return b""
    body = await req.stream.read(max_bytes + 1)
    if len(body) > max_bytes:
        raise BodyTooLargeError
    if length is not None and len(body) < length:
        raise BodyTruncatedError
    return body


class Entry:
    """Falcon sink that maps HTTP requests to calls and results to responses."""

    def __init__(self, dispatcher: dispatch.Dispatcher, max_body_bytes: int):
        self._dispatcher = dispatcher
        self._max_body_bytes = max_body_bytes

    async def __call__(self, req, resp, **_) -> None:
        """Serves one request."""
        dispatcher = self._dispatcher
        with dispatcher.in_flight():
            refusal = dispatcher.early_refusal(
                req.headers.get(targetclient.CONTEXT_HEADER.lower(), "")
            )
            if refusal is not None:
                self._refuse(resp, refusal)
                return
            try:
                body = await read_body(req, self._max_body_bytes)
                call = self._parse(req, body)
            except BodyTooLargeError:
                self._refuse(resp, Code.BODY_TOO_LARGE)
                return
            except (BodyTruncatedError, ValueError):
                self._refuse(resp, Code.MALFORMED)
                return
            self._write_result(resp, await dispatcher.serve(call))

    def _parse(self, req, body: bytes) -> incoming.IncomingCall:
        headers = req.headers
        raw_path = req.scope["raw_path"].decode("latin-1")
        service, _, target_path = raw_path.lstrip("/").partition("/")
        path = "/" + target_path
        if req.query_string:
            path += "?" + req.query_string
        deadline_header = headers.get(targetclient.DEADLINE_HEADER.lower())
        remaining_ms = (
            None if deadline_header is None else float(deadline_header)
        )
        if remaining_ms is not None and not 0 <= remaining_ms < 1e9:
            raise ValueError(deadline_header)
        return incoming.IncomingCall(
            service=service,
            method=req.method,
            path=path,
            headers=[
                (name.decode("latin-1"), value.decode("latin-1"))
                for name, value in req.scope["headers"]
                if name not in _STRIPPED_HEADERS
            ],
            body=body,
            caller=headers.get(CALLER_HEADER.lower(), ""),
            kind=headers.get(KIND_HEADER.lower(), ""),
            action_id=headers.get(ACTION_HEADER.lower(), ""),
            key=headers.get(KEY_HEADER.lower(), ""),
            parent_id=headers.get(targetclient.CONTEXT_HEADER.lower(), ""),
            remaining_ms=remaining_ms,
        )

    def _refuse(self, resp, code: Code) -> None:
        self._dispatcher.count_refusal(code)
        self._write_refusal(resp, code)

    def _write_refusal(self, resp, code: Code) -> None:
        info = codes.describe(code)
        resp.status = info.http_status
        resp.content_type = "application/json"
        resp.data = b'{"code": %d, "name": "%s"}' % (code, code.name.encode())
        resp.set_header(CODE_HEADER, str(int(code)))
        resp.set_header(RUN_HEADER, info.run_state.value)

    def _write_result(self, resp, served: incoming.ServedCall) -> None:
        result = served.result
        code = Code(result.code)
        if result.status == 0:
            # The result carries no response of the target.
            self._write_refusal(resp, code)
            resp.set_header(RUN_HEADER, served.run_state.value)
        else:
            resp.status = result.status
            resp.data = result.body
            # ASGI requires lower-case names, which set_header() produces;
            # falcon sets Content-Length from the data.
            for name, value in result.headers:
                if name.lower() == "set-cookie":
                    resp.append_header(name, value)
                else:
                    resp.set_header(name, value)
            resp.set_header(CODE_HEADER, str(result.code))
            resp.set_header(RUN_HEADER, served.run_state.value)
        if served.action_id:
            resp.set_header(ACTION_HEADER, served.action_id)
        if served.next_action_id:
            resp.set_header(NEXT_ACTION_HEADER, served.next_action_id)


class ActionsResource:
    """Issues action ids."""

    def __init__(self, dispatcher: dispatch.Dispatcher):
        self._dispatcher = dispatcher

    async def on_post(self, req, resp) -> None:
        """Responds with an unused action id."""
        del req
        action_id = self._dispatcher.issue_action_id()
        resp.media = {"action": action_id}
        resp.set_header(NEXT_ACTION_HEADER, action_id)


def make_app(
    dispatcher: dispatch.Dispatcher, max_body_bytes: int, resources=()
) -> falcon.asgi.App:
    """Returns the ASGI application of a daemon.

    Args:
      dispatcher: Serves the calls.
      max_body_bytes: Maximum size of a request body.
      resources: Pairs of a path that starts with "/-/" and a falcon resource.
    """
    app = falcon.asgi.App()
    app.req_options.auto_parse_form_urlencoded = False
    app.add_route("/-/actions", ActionsResource(dispatcher))
    for path, resource in resources:
        app.add_route(path, resource)
    app.add_sink(Entry(dispatcher, max_body_bytes), prefix="/")
    return app


def make_protocol(dispatcher: dispatch.Dispatcher) -> type:
    """Returns a uvicorn protocol class for HTTP connections.

    It responds to malformed HTTP with the result code MALFORMED.
    """

    class Protocol(httptools_impl.HttpToolsProtocol):
        def send_400_response(self, msg: str) -> None:
            del msg
            dispatcher.count_refusal(Code.MALFORMED)
            self.transport.write(_BAD_REQUEST_RESPONSE)
            self.transport.close()

    return Protocol
