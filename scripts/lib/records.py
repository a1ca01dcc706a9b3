"""Checks callers' records against the upstreams' own records."""

import json
from collections import Counter, defaultdict
from dataclasses import dataclass, field

LEAVING_GRACE_MS = 5_000
ANSWER_TRANSIT_MS = 20


@dataclass
class Findings:
    """Counts of a run and the evidence of each broken promise."""

    counts: Counter = field(default_factory=Counter)
    broken: dict = field(default_factory=lambda: defaultdict(list))

    def merge(self, other):
        self.counts.update(other.counts)
        for promise, evidence in other.broken.items():
            self.broken[promise] += evidence


def read_sends(path):
    with open(path, encoding="utf-8") as lines:
        return [json.loads(line) for line in lines]


def check(sends, runs, forgiven=()):
    """Compares sends with runs. `forgiven` lists (target, from, to) in which
    a proxy was killed or paused: its connections may be cut then, and nothing
    else is forgiven."""
    found = Findings()
    runs_of_tag = defaultdict(list)
    runs_of_key = defaultdict(list)
    for run in runs:
        runs_of_tag[run["tag"]].append(run)
        if run["key"]:
            runs_of_key[run["key"]].append(run)
    send_of_tag = {send["tag"]: send for send in sends}
    for send in sends:
        _check_send(send, runs_of_tag, forgiven, found)
        if send["verdict"] == "not_run":
            found.counts["not-run claims"] += 1
            _check_not_run(send, runs_of_tag, runs_of_key, send_of_tag, found)
    _check_repeats(sends, runs_of_tag, runs_of_key, found)
    found.counts["runs"] = len(runs)
    return found


def _check_send(send, runs_of_tag, forgiven, found):
    counts = found.counts
    counts["sends"] += 1
    counts["requests"] += send["tag"] == send["family"]
    counts[send["result"]] += 1
    counts[f"verdict {send['verdict'] or 'none'}"] += 1
    if send["reason"]:
        counts[f"reason {send['reason']}"] += 1
    if send["status"] >= 500 and send["result"] == "whole":
        counts["failed at the upstream"] += 1
    if send["result"] == "wrong":
        found.broken["wrong answer"].append(send)
    if _is_cut(send, runs_of_tag):
        if _is_forgiven(send, forgiven):
            counts["cut by a kill"] += 1
        else:
            found.broken["cut answer"].append(send)
    if send["result"] == "timeout":
        if _is_forgiven(send, forgiven):
            counts["timeout by a kill or pause"] += 1
        else:
            found.broken["no answer in time"].append(send)
    if send["result"] == "whole" and send["verdict"] != "ran":
        found.broken["answer without the verdict ran"].append(send)
    if send["result"] == "whole" and not runs_of_tag[send["tag"]]:
        found.broken["answer without a run"].append(send)


def _is_cut(send, runs_of_tag):
    """An idle connection may be closed as a request goes out on it; that is a
    cut if an upstream got the request after all."""
    if send["result"] == "cut":
        return True
    if send["result"] != "closed":
        return False
    return not send["reused"] or bool(runs_of_tag[send["tag"]])


def _is_forgiven(send, forgiven):
    return any(send["target"] in (target, "*") and send["sent"] <= end and
               send["done"] >= start for target, start, end in forgiven)


def _check_not_run(send, runs_of_tag, runs_of_key, send_of_tag, found):
    """The claim speaks of the request: no run of this send, ever; none under
    its key that started before the answer was on its way; and none later on
    account of a send that had ended before."""
    evidence = list(runs_of_tag[send["tag"]])
    for run in runs_of_key[send["key"]] if send["key"] else ():
        other = send_of_tag.get(run["tag"])
        if run["tag"] == send["tag"]:
            continue
        if run["started"] < send["done"] - ANSWER_TRANSIT_MS:
            evidence.append(run)
        elif other is not None and other["done"] < send["sent"]:
            evidence.append(run)
    if evidence:
        found.broken["not-run claim is false"].append(
            {"send": send, "runs": evidence})


def _check_repeats(sends, runs_of_tag, runs_of_key, found):
    keyed = {send["key"] for send in sends if send["key"]}
    found.counts["keys"] = len(keyed)
    found.counts["keys sent more than once"] = sum(
        count > 1 for count in
        Counter(send["key"] for send in sends if send["key"]).values())
    for key in keyed:
        if len(runs_of_key[key]) > 1:
            found.broken["repeat"].append(
                {"key": key, "runs": runs_of_key[key],
                 "sends": [s for s in sends if s["key"] == key]})
    for send in sends:
        if not send["idempotent"] and not send["key"]:
            if len(runs_of_tag[send["tag"]]) > 1:
                found.broken["repeat"].append(
                    {"send": send, "runs": runs_of_tag[send["tag"]]})


def check_leaving(runs, drains):
    """`drains` maps (instance, incarnation) to the time of its notice."""
    found = Findings()
    for run in runs:
        since = drains.get((run["instance"], run["incarnation"]))
        if since is None or run["started"] <= since:
            continue
        found.counts["runs after the notice of leaving"] += 1
        if run["started"] > since + LEAVING_GRACE_MS:
            found.broken["work for a leaving upstream"].append(run)
    return found


def first_drop_ms(runs, instance, start, end, baseline_ms=3_000):
    """Returns the time from `start` until a first second with less than a
    tenth of the work before, or None; the work may come back later."""
    own = [run["started"] for run in runs if run["instance"] == instance]
    before = sum(start - baseline_ms <= at < start for at in own)
    limit = max(1.0, 0.1 * before / baseline_ms * 1000)
    for at in range(start, end - 1000, 50):
        if sum(at <= one < at + 1000 for one in own) <= limit:
            return at - start
    return None


def detection_ms(runs, instance, start, end, baseline_ms=3_000):
    """Returns the time from `start` until the instance's work stays below a
    tenth of what it had before, or None if it never does by `end`."""
    own = sorted(run["started"] for run in runs if run["instance"] == instance)
    before = sum(start - baseline_ms <= at < start for at in own)
    limit = max(1.0, 0.1 * before / baseline_ms * 1000)
    after = [at for at in own if start <= at < end]
    last_busy = start
    for at in after:
        if sum(at <= other < at + 1000 for other in after) > limit:
            last_busy = at
    if last_busy + 1000 >= end:
        return None
    return last_busy - start
