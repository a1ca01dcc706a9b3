"""Each promise's check must fail on records that break it, and only then."""

import unittest

import records


def send(tag, **changes):
    base = {"tag": tag, "family": tag.split(".")[0], "key": "",
            "idempotent": True, "reused": False, "target": "t:1",
            "sent": 1000, "done": 1100, "status": 200, "verdict": "ran",
            "reason": "", "result": "whole"}
    return {**base, **changes}


def run(tag, **changes):
    base = {"tag": tag, "key": "", "instance": "i-0", "incarnation": 1,
            "started": 1050, "ended": 1090, "outcome": "answered"}
    return {**base, **changes}


def broken(sends, runs, forgiven=()):
    found = records.check(sends, runs, forgiven)
    return {name for name, evidence in found.broken.items() if evidence}


class RecordsTest(unittest.TestCase):
    def test_whole_answer_is_kept(self):
        self.assertEqual(broken([send("a")], [run("a")]), set())

    def test_whole_answer_needs_a_run_and_its_verdict(self):
        self.assertEqual(broken([send("a")], []), {"answer without a run"})
        self.assertEqual(broken([send("a", verdict="")], [run("a")]),
                         {"answer without the verdict ran"})

    def test_wrong_answer(self):
        self.assertEqual(broken([send("a", result="wrong")], [run("a")]),
                         {"wrong answer"})

    def test_cut_is_forgiven_only_in_the_window_of_its_target(self):
        cut = [send("a", result="cut")]
        self.assertEqual(broken(cut, []), {"cut answer"})
        self.assertEqual(broken(cut, [], [("t:1", 1050, 1200)]), set())
        self.assertEqual(broken(cut, [], [("t:1", 1150, 1200)]),
                         {"cut answer"})
        self.assertEqual(broken(cut, [], [("t:2", 1050, 1200)]),
                         {"cut answer"})

    def test_idle_close_is_a_cut_if_the_request_ran(self):
        closed = [send("a", result="closed", reused=True, verdict="")]
        self.assertEqual(broken(closed, []), set())
        self.assertEqual(broken(closed, [run("a")]), {"cut answer"})
        fresh = [send("a", result="closed", reused=False, verdict="")]
        self.assertEqual(broken(fresh, []), {"cut answer"})

    def test_not_run_claim_of_a_send_that_ran_later(self):
        claim = [send("a", result="refused", verdict="not_run", status=503)]
        self.assertEqual(broken(claim, []), set())
        self.assertEqual(broken(claim, [run("a", started=9000)]),
                         {"not-run claim is false"})

    def test_not_run_claim_speaks_of_the_key(self):
        first = send("a", key="k", idempotent=False)
        claim = send("a.r1", key="k", idempotent=False, result="refused",
                     verdict="not_run", sent=1200, done=1300)
        self.assertEqual(broken([first, claim], [run("a", key="k")]),
                         {"not-run claim is false"})

    def test_not_run_claim_while_an_abandoned_send_runs_later(self):
        first = send("a", key="k", idempotent=False, result="timeout",
                     verdict="")
        claim = send("a.r1", key="k", idempotent=False, result="refused",
                     verdict="not_run", sent=1200, done=1300)
        late = [run("a", key="k", started=2000)]
        self.assertIn("not-run claim is false", broken([first, claim], late))

    def test_later_send_may_run_after_a_not_run_claim(self):
        claim = send("a", key="k", idempotent=False, result="refused",
                     verdict="not_run")
        again = send("a.r1", key="k", idempotent=False, sent=1200, done=1400)
        self.assertEqual(
            broken([claim, again], [run("a.r1", key="k", started=1300)]),
            set())

    def test_repeat(self):
        sends = [send("a", key="k", idempotent=False)]
        twice = [run("a", key="k"), run("a", key="k", instance="i-1")]
        self.assertEqual(broken(sends, twice), {"repeat"})
        unkeyed = [send("a", idempotent=False)]
        self.assertEqual(broken(unkeyed, [run("a"), run("a")]), {"repeat"})
        self.assertEqual(broken([send("a")], [run("a"), run("a")]), set())

    def test_work_for_a_leaving_upstream(self):
        drains = {("i-0", 1): 1000}
        soon = records.check_leaving([run("a", started=3000)], drains)
        self.assertEqual(dict(soon.broken), {})
        late = [run("a", started=6001)]
        self.assertIn("work for a leaving upstream",
                      records.check_leaving(late, drains).broken)
        back = [run("a", started=6001, incarnation=2)]
        self.assertEqual(dict(records.check_leaving(back, drains).broken), {})

    def test_detection(self):
        steady = [run("a", started=at) for at in range(0, 6000, 10)]
        self.assertIsNone(records.detection_ms(steady, "i-0", 3000, 6000))
        stops = [one for one in steady if one["started"] < 4000]
        took = records.detection_ms(stops, "i-0", 3000, 6000)
        self.assertTrue(700 <= took <= 1000, took)

    def test_work_that_comes_back_counts_as_not_detected(self):
        gap = [run("a", started=at) for at in range(0, 12_000, 10)
               if not 4000 <= at < 8000]
        first = records.first_drop_ms(gap, "i-0", 3000, 12_000)
        self.assertTrue(700 <= first <= 1000, first)
        self.assertIsNone(records.detection_ms(gap, "i-0", 3000, 12_000))


if __name__ == "__main__":
    unittest.main()
