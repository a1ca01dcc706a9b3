"""What a fault run found, as text, JSON and a plot page."""

import json
from collections import Counter

import fault_schedule
import records
import report_page

RECOVERED_SHARE = 0.99
RECOVERY_S = 5
FALSE_EJECTION_MARGIN_S = 3


class Report:
    """Judges a finished run; `broken` maps a promise to its evidence."""

    def __init__(self, seed, form, sites):
        self.seed = seed
        self.form = form
        self.seconds = 0.0
        self.broken = {}
        self.counts = {}
        self.series = {}
        self.steps = {}
        self.detection = {}
        self.false_ejections = {}
        for site in sites:
            self._judge(site)

    def _break(self, site, promise, evidence):
        if evidence:
            self.broken.setdefault(f"{site.site.user.name}: {promise}",
                                   []).extend(evidence)

    def _judge(self, site):
        user = site.site.user.name
        sends = records.read_sends(site.site.load_log("load"))
        runs = site.site.runs()
        found = records.check(sends, runs, site.forgiven)
        found.merge(records.check_leaving(runs, site.drains))
        for promise, evidence in found.broken.items():
            self._break(site, promise, evidence)
        self._break(site, "the program's own checks", [
            f"{name}: {count:g}" for name, count in site.breaches.items()])
        self._break(site, "a revision went back", site.reverted)
        self._break(site, "the run itself", site.failures)
        self._judge_races(site)
        self._judge_end(site, sends)
        self._judge_connections(site)
        self.counts[user] = found.counts
        found.counts["status answers of the operators' command"] = (
            site.status_answers)
        found.counts["of these, services below their floor"] = len(
            site.below_floor)
        self.steps[user] = site.schedule.steps
        self.series[user] = self._per_second(site, sends)
        self.detection[user] = self._detection(site, runs)
        self.false_ejections[user] = self._false_ejections(site)

    def _judge_races(self, site):
        self._break(site, "two operators won on one base", [
            race for race in site.races if race["codes"].count(0) > 1])
        self._break(site, "an operator's command failed", [
            race for race in site.races
            if any(code in (1, 2, 7) for code in race["codes"])])

    def _judge_end(self, site, sends):
        have = site.final["in_force"]
        if len(set(have.values())) != 1 or None in have.values():
            self._break(site, "not one revision in force at the end", [have])
        last = site.begin_ms + (site.seconds - RECOVERY_S) * 1000
        late = [send for send in sends if send["intended"] >= last
                and send["tag"] == send["family"]]
        good = sum(send["result"] == "whole" and send["status"] < 500
                   for send in late)
        if good < RECOVERED_SHARE * len(late):
            self._break(site, "no recovery after the last fault",
                        [f"{good} of {len(late)} requests succeeded"])

    def _judge_connections(self, site):
        self._break(site, "more connections than an instance takes", [
            stats for stats in site.site.instances()
            if stats["over_limit"] > 0])

    @staticmethod
    def _per_second(site, sends):
        bins = [Counter() for _ in range(int(site.seconds) + 1)]
        for send in sends:
            second = (send["intended"] - site.begin_ms) // 1000
            if 0 <= second < len(bins):
                known = send["result"] in ("whole", "refused")
                bins[second][send["result"] if known else "other"] += 1
        return bins

    @staticmethod
    def _detection(site, runs):
        took = []
        for step in site.applied:
            if step.name in fault_schedule.GRAY and step.kind == "upstream":
                start = site.begin_ms + int(step.at * 1000)
                end = site.begin_ms + int(step.until * 1000)
                took.append((step.name, records.detection_ms(
                    runs, f"{step.service}-{step.instance}", start, end)))
        return took

    @staticmethod
    def _false_ejections(site):
        """Ejections of instances that had no fault shortly before."""
        false = []
        for event in site.events.values():
            if event.get("kind") != "instance_ejected":
                continue
            at = (event_time(event) - site.begin_ms) / 1000
            if not any(f"{step.service}-{step.instance}" in event["subject"]
                       and step.at <= at <=
                       step.until + FALSE_EJECTION_MARGIN_S
                       for step in site.schedule.steps if step.service):
                false.append(event)
        return false

    def text(self):
        lines = [f"fault run: seed {self.seed}, {self.form}, "
                 f"{self.seconds:.0f} s in all"]
        for user, counts in self.counts.items():
            lines.append(f"\n{user}")
            lines += [f"  {name:<40}{count:>10}"
                      for name, count in sorted(counts.items())]
            lines.append("  detection of gray instances, ms: " + (", ".join(
                f"{name} {'not within the fault' if ms is None else ms}"
                for name, ms in self.detection[user]) or "none drawn"))
            lines.append("  ejections without a fault: "
                         f"{len(self.false_ejections[user])}")
            lines += [f"  {step}" for step in self.steps[user]]
        lines.append("")
        if not self.broken:
            lines.append("every promise was kept")
        for promise, evidence in self.broken.items():
            lines.append(f"BROKEN {promise}: {len(evidence)}")
            lines += ["  " + shorten(one) for one in evidence[:3]]
        return "\n".join(lines)

    def as_json(self):
        return {
            "seed": self.seed, "form": self.form, "seconds": self.seconds,
            "counts": self.counts, "detection": self.detection,
            "false_ejections": self.false_ejections,
            "broken": self.broken,
            "steps": {user: [str(step) for step in steps]
                      for user, steps in self.steps.items()}}

    def html(self):
        return report_page.page(
            f"Fault run, seed {self.seed}", self.series, self.steps,
            self.form["seconds"], {name: len(evidence) for name, evidence
                                   in self.broken.items()})


def event_time(event):
    """Returns an event's wall-clock time in milliseconds."""
    at = event.get("at", event.get("wall", 0))
    return at.get("wall", 0) if isinstance(at, dict) else at


def shorten(evidence):
    text = evidence if isinstance(evidence, str) else json.dumps(evidence)
    return text[:1200]
