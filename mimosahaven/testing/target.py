"""Fake target: a backend process with slots, nested calls and faults."""

import asyncio
import json
import math
import pathlib

import click
import falcon
import falcon.asgi
import msgspec
import uvicorn

from mimosahaven import clock
from mimosahaven.testing import runs as runs_lib
from mimosahaven.testing import targetcore

DEADLINE_HEADER = "Mimosahaven-Deadline-Ms"
DRAIN_TIMEOUT_S = 60
BODY_CHUNKS = 10


class CallResource:
    """HTTP resource for every path outside `/-/`."""

    def __init__(self, target: targetcore.Target):
        self._target = target

    async def __call__(self, req, resp) -> None:
        """Runs or sheds one request and writes its response."""
        body = await req.stream.read()
        faults = self._target.faults
        request = _parse_request(req, body)
        crash_text = faults.crash_substring
        request.crash = bool(crash_text) and (
            crash_text.encode() in body or crash_text in req.relative_uri
        )
        status, fields = await self._target.handle(request)
        resp.status = status
        resp.content_type = falcon.MEDIA_JSON
        data = json.dumps(
            {
                "id": request.id,
                "service": self._target.service,
                "target": self._target.name,
                "path": request.path,
                "call": request.call_id,
                **fields,
                "end": True,
            }
        ).encode()
        if status == 200 and (faults.truncate or faults.slow_body_ms):
            resp.content_length = len(data)
            resp.stream = _body_chunks(data, faults)
        else:
            resp.data = data


class ControlResources:
    """HTTP resources under `/-/`."""

    def __init__(self, target: targetcore.Target):
        self._target = target
        self._report: dict = {}
        self._reported_ms = -math.inf

    async def on_get_runs(self, req, resp) -> None:
        """Responds with the run log, which no fault makes stale or false."""
        log = self._target.log
        first = req.get_param_as_int("after", default=0)
        resp.content_type = falcon.MEDIA_JSON
        resp.data = msgspec.json.encode(
            {
                "target": self._target.name,
                "service": self._target.service,
                "concurrent": log.concurrent,
                "concurrent_max": log.concurrent_max,
                "total": len(log.runs),
                "shed": self._target.shed_count,
                "runs": log.runs[first:],
            }
        )

    async def on_get_health(self, req, resp) -> None:
        """Responds with the state, which may be stale or falsified."""
        health = self._target.faults.health
        up = health == "up" or (
            health == "honest" and not self._load_report()["draining"]
        )
        resp.status = 200 if up else 503
        resp.media = {"state": "up" if up else "down"}

    async def on_get_load(self, req, resp) -> None:
        """Responds with the load, which may be stale or falsified."""
        report = dict(self._load_report())
        if self._target.faults.health == "up":
            report |= {"concurrent": 0, "queued": 0}
        resp.media = report

    async def on_put_control(self, req, resp) -> None:
        """Replaces all faults; those that are not named are reset."""
        try:
            self._target.faults = msgspec.json.decode(
                await req.stream.read(), type=targetcore.Faults
            )
        except msgspec.MsgspecError as error:
            raise falcon.HTTPBadRequest(description=str(error)) from error
        resp.status = 204

    async def on_delete_call(self, req, resp, call_id: str) -> None:
        """Cancels a call."""
        resp.status = 204 if self._target.cancel(call_id) else 404

    def _load_report(self) -> dict:
        now_ms = clock.monotonic_ms()
        lag_ms = self._target.faults.report_lag_ms
        if now_ms - self._reported_ms >= lag_ms:
            self._reported_ms = now_ms
            self._report = {
                "concurrent": self._target.log.concurrent,
                "queued": self._target.slots.queued,
                "draining": self._target.draining,
            }
        return self._report


def _parse_request(req, body: bytes) -> targetcore.Request:
    request_id = req.get_param("id")
    if request_id is None:
        request_id = str(targetcore.parse_json_object(body).get("id", ""))
    deadline_ms = math.inf
    header_value = req.get_header(DEADLINE_HEADER)
    if header_value is not None:
        deadline_ms = clock.monotonic_ms() + float(header_value)
    return targetcore.Request(
        req.method,
        req.path,
        request_id,
        req.get_header(runs_lib.CONTEXT_HEADER) or "",
        deadline_ms,
        req.get_param_as_int("size", default=0),
    )


async def _body_chunks(data: bytes, faults: targetcore.Faults):
    end = len(data) // 2 if faults.truncate else len(data)
    chunk_bytes = max(1, -(-end // BODY_CHUNKS))
    for start in range(0, end, chunk_bytes):
        await asyncio.sleep(faults.slow_body_ms / BODY_CHUNKS / 1000)
        yield data[start : min(end, start + chunk_bytes)]


def make_app(target: targetcore.Target) -> falcon.asgi.App:
    """Returns the HTTP application of a target."""
    app = falcon.asgi.App()
    controls = ControlResources(target)
    app.add_route("/-/runs", controls, suffix="runs")
    app.add_route("/-/health", controls, suffix="health")
    app.add_route("/-/load", controls, suffix="load")
    app.add_route("/-/control", controls, suffix="control")
    app.add_route("/-/calls/{call_id:path}", controls, suffix="call")
    app.add_sink(CallResource(target), prefix="/")
    return app


class _Server(uvicorn.Server):
    """Server that drains the target on SIGTERM."""

    def __init__(self, config: uvicorn.Config, target: targetcore.Target):
        super().__init__(config)
        self._target = target

    def handle_exit(self, sig, frame) -> None:
        """Marks the target as draining; uvicorn finishes in-flight requests."""
        self._target.draining = True
        super().handle_exit(sig, frame)


@click.command()
@click.option("--name", required=True)
@click.option("--service", required=True)
@click.option("--host", default="127.0.0.1")
@click.option("--port", type=int, required=True)
@click.option(
    "--daemon", default="", help="Entry of the target's daemon, http://IP:PORT"
)
@click.option("--slots", type=int, default=100)
@click.option("--queue", type=int, help="Length of the queue (default: slots)")
@click.option("--service-ms", type=float, default=5.0)
@click.option("--cold-start-ms", type=float, default=0.0)
@click.option("--seed", type=int, default=0)
@click.option(
    "--calls",
    default="",
    callback=lambda _c, _p, value: tuple(v for v in value.split(",") if v),
    help="Nested calls of every path: service/path,...",
)
@click.option("--runs-file", type=click.Path(path_type=pathlib.Path))
def main(**options) -> None:
    """Runs a fake target until SIGTERM, which drains it."""
    target = targetcore.Target(options)
    config = uvicorn.Config(
        make_app(target),
        host=options["host"],
        port=options["port"],
        loop="asyncio",
        http="httptools",
        ws="none",
        lifespan="off",
        log_level="critical",
        access_log=False,
        timeout_graceful_shutdown=DRAIN_TIMEOUT_S,
    )
    _Server(config, target).run()


if __name__ == "__main__":
    main()
