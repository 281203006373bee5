import testtools

from mimosahaven import codes
from mimosahaven import identity
from mimosahaven.mesh import callerserver
from mimosahaven.mesh import inflight
from mimosahaven.mesh import requestcontext
from mimosahaven.mesh import routing
from mimosahaven.mesh import settings as settings_lib
from tests.mesh import samples

PARENT = inflight.ParentRequest("p1", 77, 50.0, 400.0, True)


class ContextReaderTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        in_flight = inflight.InFlightRequests()
        in_flight.add(PARENT)
        self.reader = requestcontext.ContextReader(
            settings_lib.HeaderNames(), in_flight
        )

    def read(self, attempt="r1", path=b"/x/1", deadline=None):
        headers = [(b"Host", b"a.example")]
        if attempt is not None:
            headers.append((b"Mimosahaven-Attempt", attempt.encode()))
        if deadline is not None:
            headers.append((b"Mimosahaven-Deadline-Ms", deadline))
        request = callerserver.Request("GET", path, headers, b"", 100.0)
        index = routing.RouteIndex(samples.table(samples.route()))
        return self.reader.read(request, index)

    def test_route_determines_priority_and_maximum_deadline(self):
        # The route has rank 2 and a timeout of 1,000 ms; the request was read
        # at 100 ms.
        context = self.read()
        self.assertEqual(
            requestcontext.TOP_WEIGHT - 2,
            context.priority // identity.WEIGHT_STEP,
        )
        self.assertEqual(1_100.0, context.deadline_ms)
        self.assertEqual(100.0, context.root_ms)
        self.assertEqual(1_100.0, self.read(deadline=b"5000").deadline_ms)
        self.assertEqual(300.0, self.read(deadline=b"200").deadline_ms)

    def test_nested_call_inherits_priority_root_time_and_deadline(self):
        context = self.read(attempt="p1.c1", deadline=b"900")
        self.assertIs(PARENT, context.parent)
        self.assertEqual(
            (77, 50.0, 400.0),
            (context.priority, context.root_ms, context.deadline_ms),
        )
        self.assertIn("katalog", PARENT.tree)

    def test_unknown_parent_is_ignored(self):
        context = self.read(attempt="p2.c1")
        self.assertIsNone(context.parent)
        self.assertEqual(1_100.0, context.deadline_ms)

    def test_unroutable_and_malformed_requests_are_refused_with_a_code(self):
        self.assertIs(codes.Code.UNKNOWN_ROUTE, self.read(path=b"/y/"))
        self.assertIs(codes.Code.MALFORMED, self.read(attempt=None))
        self.assertIs(codes.Code.MALFORMED, self.read(deadline=b"soon"))
