import testtools

from mimosahaven.mesh import settings as settings_lib
from mimosahaven.mesh import storecontact


def make_contact():
    return storecontact.StoreContact(
        settings_lib.convert(
            {
                "endpoint": "10.0.0.1:1",
                "check_interval_ms": 400,
                "response_timeout_ms": 300,
                "read_timeout_ms": 1500,
            },
            settings_lib.StoreSettings,
        )
    )


class StoreContactTest(testtools.TestCase):
    def test_a_store_without_a_response_is_checked_at_once(self):
        self.assertEqual(0.0, make_contact().ms_until_check(5_000.0))

    def test_a_check_is_due_an_interval_after_the_last_response(self):
        contact = make_contact()
        contact.record_response(5.0, 1_000.0)
        self.assertEqual(400.0, contact.ms_until_check(1_000.0))
        self.assertEqual(150.0, contact.ms_until_check(1_250.0))
        self.assertEqual(0.0, contact.ms_until_check(2_000.0))

    def test_a_slow_store_gets_more_time(self):
        contact = make_contact()
        contact.record_response(5.0, 0.0)
        self.assertEqual(300.0, contact.timeout_ms())
        contact.record_response(400.0, 1_000.0)
        self.assertEqual(800.0, contact.timeout_ms())
        contact.record_response(5_000.0, 7_000.0)
        self.assertEqual(1_500.0, contact.timeout_ms())

    def test_a_store_that_is_fast_again_gets_less_time(self):
        contact = make_contact()
        contact.record_response(800.0, 0.0)
        for n in range(30):
            contact.record_response(5.0, 1_000.0 * n)
        self.assertEqual(300.0, contact.timeout_ms())
