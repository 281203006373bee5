"""Tests of the platform's client against the fake platform process."""

import asyncio
import contextlib
import random
import sys

import aiohttp
import testtools
from testtools import matchers

from mimosahaven import platformclient
from mimosahaven import settings as settings_lib

LIMIT_S = 30
TABLE = platformclient.DocumentName.TABLE
LIST = platformclient.DocumentName.LIST


class Reader:
    """A client, what it has read, and access to the fake platform."""

    def __init__(self, endpoint: dict, http: aiohttp.ClientSession):
        self.endpoint = endpoint
        self.base = f"http://{endpoint['host']}:{endpoint['port']}"
        self.http = http
        self.versions = {TABLE: 0, LIST: 0}
        self.texts = []
        self.contacts = 0
        settings = settings_lib.Settings.model_validate(
            {
                "target": {
                    "name": "katalog-1",
                    "service": "katalog",
                    "failure_domain": "a",
                    "endpoint": endpoint,
                },
                "entry": endpoint,
                "link": endpoint,
                "platform": endpoint,
                "gossip": {"read_timeout_ms": 300, "retry_ms": 200},
            }
        )
        self.client = platformclient.PlatformClient(
            settings,
            random.Random(1),
            self._on_document,
            self.versions.__getitem__,
            self._on_contact,
        )

    def _on_document(self, name, text, now_ms):
        self.texts.append(text)
        if "bad" not in text:
            self.versions[name] += 1

    def _on_contact(self, name, now_ms):
        self.contacts += 1

    async def put(self, path, **options):
        async with self.http.put(self.base + path, **options) as response:
            return response.status

    async def control(self, **faults):
        assert await self.put("/control", json=faults) == 204

    async def counters(self):
        async with self.http.get(self.base + "/control") as response:
            return await response.json()

    async def until(self, condition):
        async with asyncio.timeout(LIMIT_S):
            # The condition depends on another process.
            while not condition():  # noqa: ASYNC110
                await asyncio.sleep(0.01)


@contextlib.asynccontextmanager
async def open_reader():
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        *("-m", "mimosahaven.testing.platform", "--port", "0"),
        stdout=asyncio.subprocess.PIPE,
    )
    try:
        host, port = (await process.stdout.readline()).decode().split(":")
        endpoint = {"host": host, "port": int(port)}
        async with aiohttp.ClientSession() as http:
            reader = Reader(endpoint, http)
            await reader.client.start()
            try:
                yield reader
            finally:
                await reader.client.stop()
    finally:
        process.terminate()
        await process.wait()


class PlatformClientTest(testtools.TestCase):
    def run_with_reader(self, scenario):
        async def run():
            async with open_reader() as reader:
                await scenario(reader)

        asyncio.run(run())

    def test_watch_gets_each_new_version(self):
        async def scenario(reader):
            reader.client.start_watching()
            for version in (1, 2):
                text = f'{{"version": {version}}} // comment'
                await reader.put("/v1/table", data=text)
                await reader.until(lambda text=text: text in reader.texts)
            self.assertThat((await reader.counters())["waiting"], is_below(3))

        self.run_with_reader(scenario)

    def test_watch_goes_on_after_each_outage(self):
        # A watch that ends at its first error misses all later changes.
        async def scenario(reader):
            reader.client.start_watching()
            for version, outage in ((1, "refuse"), (2, "hang")):
                errors = reader.client.error_count
                await reader.control(outage=outage)
                await reader.until(
                    lambda count=errors: reader.client.error_count > count
                )
                text = f'{{"version": {version}}}'
                await reader.put("/control", json={"outage": ""})
                await reader.put("/v1/vms", data=text)
                await reader.until(lambda text=text: text in reader.texts)

        self.run_with_reader(scenario)

    def test_invalid_document_is_not_read_in_a_tight_loop(self):
        # A watch below the platform's version is answered at once.
        async def scenario(reader):
            await reader.put("/v1/table", data='{"version": 9, "bad": 1}')
            reader.client.start_watching()
            # The watch of the list has waited for watch_wait_ms, 1000 ms.
            await reader.until(lambda: reader.contacts > len(reader.texts))
            self.assertThat(len(reader.texts), is_below(20))

        self.run_with_reader(scenario)

    def test_stale_and_lagging_documents(self):
        async def scenario(reader):
            for version in (1, 2):
                await reader.put("/v1/table", data=f'{{"version": {version}}}')
            await reader.control(frozen_table_version=1, list_lag_ms=600_000)
            await reader.put("/v1/vms", data='{"version": 1}')
            answered = await reader.client.read_all()
            self.assertThat(answered, matchers.Equals(True))
            self.assertThat(reader.texts, matchers.Equals(['{"version": 1}']))
            self.assertThat(reader.contacts, matchers.Equals(2))
            await reader.client.read_all()
            self.assertThat(len(reader.texts), matchers.Equals(1))
            counters = await reader.counters()
            self.assertThat(counters["calls"], matchers.Equals(4))

        self.run_with_reader(scenario)

    def test_unknown_faults_are_refused(self):
        async def scenario(reader):
            for faults in ({"outage": "x"}, {"other": 1}, ["outage"]):
                status = await reader.put("/control", json=faults)
                self.assertThat(status, matchers.Equals(400))
            for data in ("{", '{"version": 0}', "[]"):
                status = await reader.put("/v1/table", data=data)
                self.assertThat(status, matchers.Equals(400))

        self.run_with_reader(scenario)


def is_below(limit):
    return matchers.LessThan(limit)
