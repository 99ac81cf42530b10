"""Tests of the judgement of requests that planned stops cut.

Run: python3 -m unittest discover testsuite/soak '*_test.py'
"""
import unittest

from guarantees import GuaranteeChecker

BEGIN = 1000.0  # time of the stop signal


class JudgeCutTest(unittest.TestCase):
    """Guards against a checker that excuses requests that routers have lost, or reports ones that no router answers
    for."""

    def setUp(self):
        self.checker = GuaranteeChecker()

    def judge(self, sent, cut, run=None, kind="stream-varied", begun=None, whole_sent=True):
        """Judges a request with times in seconds after the signal; run is (begin, end, missing, broke_off)."""
        record = {"kind": kind, "sent_at": BEGIN + sent, "begun_at": BEGIN + (sent if begun is None else begun),
                  "cut_at": BEGIN + cut, "whole_sent": whole_sent}
        if run:
            begin, end, missing, broke_off = run
            self.checker.runs["x"] = [{"backend": "d", "begin": BEGIN + begin, "end": end and BEGIN + end,
                                       "missing": missing, "broke_off": broke_off}]
        return self.checker.judge_cut("x", record, BEGIN)

    def test_work_in_the_last_sixth_is_excused(self):
        self.assertEqual(self.judge(-1, 7.6, (-1, 7.6, 0.2, False)), "excused, sent before the signal")
        self.assertEqual(self.judge(-1, 7.6, (-1, 7.6, 0.5, False)), "excused, unavoidable")
        self.assertEqual(self.judge(2.9, 7.6, (2.9, 6.7, 0.5, False)), "excused, sent after the signal")

    def test_work_that_ended_early_is_lost(self):
        self.assertEqual(self.judge(1, 7.6, (1, 6.6, 0, False)), "LOST")

    def test_requests_sent_late_are_lost(self):
        self.assertEqual(self.judge(3.1, 7.6, (3.2, 7.6, 1, False)), "LOST")

    def test_the_last_byte_counts_as_the_time_of_a_request(self):
        self.assertEqual(self.judge(3.1, 7.6, (3.2, 7.6, 1, False), begun=2.0), "LOST")
        self.assertEqual(self.judge(2.9, 7.6, whole_sent=False), "not whole")

    def test_waiting_in_the_router_is_lost(self):
        self.assertEqual(self.judge(2, 7.6, kind="read-patient"), "LOST")
        self.assertEqual(self.judge(2, 2.1), "not accepted")
        self.assertEqual(self.judge(2, 2.5), "not accepted, in slack")

    def test_engines_and_deadlines_excuse(self):
        self.assertEqual(self.judge(1, 5, (1, 5, 1, True)), "broken off by engine")
        self.assertEqual(self.judge(1, 2.5, (1, 2.5, 1, False), kind="read"), "past deadline")


class BrokenStreamTest(unittest.TestCase):
    """Guards against streams that routers break off without a stop and that nobody reports."""

    def check(self, **run):
        """Returns the number of violations for a stream that was cut while its run was as given."""
        checker = GuaranteeChecker()
        checker.sent["x"] = {"kind": "stream-long", "sent_at": 0, "begun_at": 0, "cut_at": 2, "router": "r"}
        checker.runs["x"] = [{"backend": "d", "begin": 0, "end": 2, **run}]
        checker.check_broken_streams(lambda begin, end: True, set())
        return len(checker.violations)

    def test_stream_broken_off(self):
        self.assertEqual(self.check(complete=False), 1)
        self.assertEqual(self.check(complete=False, broke_off=True), 0)


if __name__ == "__main__":
    unittest.main()
