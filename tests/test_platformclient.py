"""Tests of mimosahaven.platformclient with a fake platform process."""

import asyncio
import contextlib
import random
import sys

import aiohttp
import testtools
from testtools import matchers

from mimosahaven import platformclient
from tests import gossipsim

TIMEOUT_S = 30
TABLE = platformclient.DocumentName.TABLE
LIST = platformclient.DocumentName.LIST


class Reader:
    """A platform client, the documents it has read, and the fake platform."""

    def __init__(self, endpoint: dict, http: aiohttp.ClientSession):
        self.endpoint = endpoint
        self.base_url = f"http://{endpoint['host']}:{endpoint['port']}"
        self.http = http
        self.versions = {TABLE: 0, LIST: 0}
        self.texts = []
        self.contacts = 0
        settings = gossipsim.make_settings(
            gossipsim.make_member(1, 1),
            platform=endpoint,
            gossip={"read_timeout_ms": 300, "retry_ms": 200},
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
        async with self.http.put(self.base_url + path, **options) as response:
            return response.status

    async def set_faults(self, **faults):
        assert await self.put("/control", json=faults) == 204

    async def counters(self):
        async with self.http.get(self.base_url + "/control") as response:
            return await response.json()


async def wait_until(condition):
    async with asyncio.timeout(TIMEOUT_S):
        # No single event signals the condition: it depends on other processes
        # or several timers.
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


def with_reader(scenario):
    """Decorates a test to run with its own client and fake platform."""

    def run(case):
        async def scenario_with_reader():
            async with open_reader() as reader:
                await scenario(case, reader)

        asyncio.run(scenario_with_reader())

    return run


class PlatformClientTest(testtools.TestCase):
    @with_reader
    async def test_watch_gets_each_new_version(self, reader):
        reader.client.start_watching()
        for version in (1, 2):
            text = f'{{"version": {version}}} // comment'
            await reader.put("/v1/table", data=text)
            await wait_until(lambda text=text: text in reader.texts)
        waiting = (await reader.counters())["waiting"]
        self.assertThat(waiting, matchers.LessThan(3))

    @with_reader
    async def test_watch_continues_after_each_outage(self, reader):
        # A watch that ended at its first error would miss later changes.
        reader.client.start_watching()
        for version, outage in ((1, "refuse"), (2, "hang")):
            error_count_before = reader.client.error_count
            await reader.set_faults(outage=outage)
            await wait_until(
                lambda count=error_count_before: (
                    reader.client.error_count > count
                )
            )
            text = f'{{"version": {version}}}'
            await reader.put("/control", json={"outage": ""})
            await reader.put("/v1/vms", data=text)
            await wait_until(lambda text=text: text in reader.texts)

    @with_reader
    async def test_invalid_document_is_not_read_in_a_tight_loop(self, reader):
        # A watch for an older version than the platform's returns at once.
        await reader.put("/v1/table", data='{"version": 9, "bad": 1}')
        reader.client.start_watching()
        # Holds once the watch of the list has waited for watch_wait_ms, 1 s.
        await wait_until(lambda: reader.contacts > len(reader.texts))
        self.assertThat(len(reader.texts), matchers.LessThan(20))

    @with_reader
    async def test_stale_and_lagging_documents(self, reader):
        for version in (1, 2):
            await reader.put("/v1/table", data=f'{{"version": {version}}}')
        await reader.set_faults(frozen_table_version=1, list_lag_ms=600_000)
        await reader.put("/v1/vms", data='{"version": 1}')
        responded = await reader.client.read_all()
        self.assertThat(responded, matchers.Equals(True))
        self.assertThat(reader.texts, matchers.Equals(['{"version": 1}']))
        self.assertThat(reader.contacts, matchers.Equals(2))
        await reader.client.read_all()
        self.assertThat(len(reader.texts), matchers.Equals(1))
        counters = await reader.counters()
        self.assertThat(counters["calls"], matchers.Equals(4))

    @with_reader
    async def test_failed_read_is_sent_once(self, reader):
        # By default, aiohttp retries a GET after a connection reset. One
        # request is expected for each of the two documents.
        await reader.set_faults(outage="refuse")
        self.assertFalse(await reader.client.read_all())
        refused = (await reader.counters())["refused"]
        self.assertThat(refused, matchers.Equals(2))

    @with_reader
    async def test_invalid_faults_and_documents_are_refused(self, reader):
        for faults in ({"outage": "x"}, {"other": 1}, ["outage"]):
            status = await reader.put("/control", json=faults)
            self.assertThat(status, matchers.Equals(400))
        for data in ("{", '{"version": 0}', "[]"):
            status = await reader.put("/v1/table", data=data)
            self.assertThat(status, matchers.Equals(400))
