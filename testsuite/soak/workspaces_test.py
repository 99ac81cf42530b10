"""Tests of the checks of workspaces. Run: python3 -m unittest discover testsuite/soak '*_test.py'"""
import unittest

from guarantees import GuaranteeChecker
from workspaces import BURST, FACTOR, RATE, SLACK, WINDOW, Workspaces


class WorkspacesTest(unittest.TestCase):
    """Guards against checks that do not see a passed key, a wrong workspace, a wrong refusal or an exceeded quota."""

    def setUp(self):
        self.checker = GuaranteeChecker()
        self.workspaces = self.checker.workspaces = Workspaces(self.checker)

    def add(self, key, status=0, seen=(), tenant="wide", key_passed=False, sent_at=100, **more):
        """Adds a request with the times at which a backend server has read it."""
        request = f"x{len(self.checker.sent)}"
        self.checker.sent[request] = {"kind": "read", "sent_at": sent_at, "answered_at": sent_at + 0.1,
                                      "status": status, "key": key, **more}
        for at in seen:
            self.checker.on_backend_event({"event": "seen", "request": request, "backend": "app1", "t": at,
                                           "tenant": tenant, "key": key_passed})
            self.checker.runs[request].append({"backend": "app1", "begin": at})

    def violations(self, faults=(), fault_free=True):
        """Returns the names of the violated guarantees."""
        self.workspaces.check_all(faults, lambda begin, end: fault_free, False)
        return [text.split(":")[0] for text in self.checker.violations]

    def test_proper_requests(self):
        self.add("wide-0", 200, [100])
        self.add(None, 401)
        self.add("unknown", 503)
        self.add("limited-0", 429, retry_after="1")
        self.assertEqual(self.violations(), [])

    def test_headers(self):
        self.add("wide-0", 200, [100], key_passed=True)
        self.add("wide-0", 200, [100], tenant="tokens")
        self.add("wide-0", 200, [100], tenant=None)
        self.assertEqual(self.violations(), ["key passed on", "workspace", "workspace"])

    def test_no_key(self):
        self.add(None, 200)
        self.add("unknown", 401, [100], tenant=None)
        self.assertEqual(self.violations(), ["request without key"] * 2)

    def test_refusals(self):
        self.add("wide-0", 401)
        self.add("limited-0", 429, retry_after=None)
        self.add("limited-0", 429, [100], tenant="limited", retry_after="1")
        self.assertEqual(self.violations(fault_free=False), ["proper key refused", "quota refusal", "quota refusal"])

    def test_replaced_key(self):
        old, new = self.workspaces.keys["wide-0"], self.workspaces.keys["limited-0"]
        old.leaving, old.removed, new.added = 99, 100, 100
        self.add("wide-0", 401, sent_at=101)
        self.add("limited-0", 401, sent_at=102)
        self.add("wide-0", 200, [102])
        self.assertEqual(self.violations(), [])
        self.add("wide-0", 200, [103])
        self.add("limited-0", 401, sent_at=103)
        self.assertEqual(self.violations(), ["removed key", "proper key refused"])

    def test_quota(self):
        allowed = int((RATE * WINDOW + BURST) * FACTOR + SLACK)
        for number in range(allowed):
            self.add("limited-0", 200, [100 + number * 0.1], tenant="limited")
        self.assertEqual(self.violations(), [])
        self.add("limited-0", 200, [107.9], tenant="limited", sent_at=99)
        self.assertEqual(self.violations(faults=[(106, 107, "pause app1")]), [])
        self.assertEqual(self.violations(faults=[(106, 107, "pause r1")]), ["quota"])


if __name__ == "__main__":
    unittest.main()
