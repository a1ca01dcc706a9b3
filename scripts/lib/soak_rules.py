"""Judges a soak by the platform's rules, from what consumers, instances and
the operator recorded. Times are milliseconds."""

import bisect
from collections import defaultdict

import records
from soak_excuses import TIMEOUT_MS, Excuses

UNPLANNED = {"pause", "kill", "link"}
NOT_RUN = (408, 421, 429, 503)
MAX_ATTEMPTS = 3
FEW = 3  # what the rules allow
SLOWED = 8  # times rollback_slack_s
# Promises that no delay of the stand-ins can break.
UNTIMED = {"wrong answer", "answer without a run", "not-run claim is false",
           "repeat", "request that nobody sent", "no version allows it",
           "process ended by itself"}


class Judge(Excuses):
    """Findings of one run, with a method for each promise."""

    def findings(self):
        for send in self.seen.sends:
            self._classify(send)
        found = records.check(self.seen.sends, self.seen.runs)
        for promise, check in (
                ("request that nobody sent", self.unasked),
                ("configuration not in force in time", self.configuration),
                ("configuration went back", self.regress),
                ("no version allows it", self.unknown_way),
                ("denied", self.denied),
                ("work for a leaving instance", self.leaving),
                ("work for an instance that said it leaves", self.said),
                ("no rest for an instance", self.rest),
                ("kept connections closed without an answer", self.lost),
                ("too many attempts", self.attempts),
                ("retries beyond the budget", self.budget),
                ("no recovery after the last fault", self.recovery),
                ("process ended by itself",
                 lambda: self.seen.ended_by_itself)):
            if evidence := check():
                found.broken[promise] += evidence
        found.counts.update(self.judged)
        found.counts["arrivals"] = len(self.seen.arrivals)
        found.counts["versions"] = len(self.seen.versions)
        return found

    def _classify(self, send):
        answer = send["answer"]
        send["status"] = answer if isinstance(answer, int) else 0
        send["verdict"] = ""
        if answer in ("foreign", "malformed"):
            send["result"] = "wrong"
        elif answer == "timeout":
            send["result"] = "late"
        elif answer == "closed":
            send["result"] = "cut" if self._is_planned_cut(send) else "ended"
        elif send["seal"] or 200 <= answer < 300:
            send["result"] = "whole" if self._is_own(send) else "wrong"
            send["verdict"] = "ran"
        elif answer in NOT_RUN:
            send["result"] = "refused"
            send["verdict"] = "" if send["idempotent"] else "not_run"
        else:
            send["result"] = ("cut" if answer >= 500 and self._is_replaced(send)
                              else "failed")

    def _is_own(self, send):
        name, _, request = send["seal"].partition(".")
        return request == send["tag"] and any(
            run["instance"] == name and run["status"] == send["status"] and
            (run["crc"] == send["crc"] or send["status"] >= 300)
            for run in self.runs_of[request])

    def _is_planned_cut(self, send):
        at = self._planned(send)
        if at is None or self._has_reason(send, at):
            return False
        if UNPLANNED & self.kinds(("node", send["node"]),
                                  send["sent"] - self.contact, send["done"]):
            return False
        return bool(self.arrivals_of[send["tag"]]) or (
            send["done"] - send["sent"] >
            self.bound("loss_slack_s") + self.seen.margin)

    def _is_replaced(self, send):
        """An own answer in place of the one of an instance at work."""
        return self._is_planned_cut(send) and any(
            run["until"] > send["done"] + self.seen.margin
            for run in self.runs_of[send["tag"]])

    def unasked(self):
        return [one for one in self.seen.arrivals
                if one["tag"] not in self.send_of or
                (one["method"], one["path"]) !=
                (self.send_of[one["tag"]]["method"],
                 self.send_of[one["tag"]]["path"])]

    def _ways(self):
        """Yields (request, time, service that ran it or None for a 404)."""
        for send in self.seen.sends:
            for run in self.runs_of[send["tag"]]:
                yield send, run["started"], run["service"]
            if send["answer"] == 404 and not send["seal"]:
                yield send, send["done"], None

    def _possible(self, sent, until, bound):
        """Versions that may be in force, for a request sent then."""
        acked = [number for number, one in enumerate(self.seen.versions)
                 if one["acked"] is not None and
                 one["acked"] + bound + self.seen.margin < sent]
        first = acked[-1] if acked else 0
        return [one for one in self.seen.versions[first:]
                if one["sent"] <= until]

    def configuration(self):
        broken = []
        for send, at, service in self._ways():
            bound = self._config_bound(send["node"], send["sent"], at)
            if bound is None:
                continue
            self.judged["judged by the bound of configuration"] += 1
            possible = self._possible(send["sent"], at, bound)
            if all(one["routes"].get(send["route"]) != service
                   for one in possible):
                broken.append({"send": send, "at": at, "by": service})
        return broken

    def _allowing(self, send, at, service):
        return [number for number, one in enumerate(self.seen.versions)
                if one["sent"] <= at and
                one["routes"].get(send["route"]) == service]

    def unknown_way(self):
        return [{"send": send, "at": at, "by": service}
                for send, at, service in self._ways()
                if not self._allowing(send, at, service)]

    def regress(self):
        """A boot of a node that has shown a version handles a later request
        as only older versions allow."""
        broken, floors = [], defaultdict(list)
        for send, at, service in sorted(self._ways(), key=lambda way: way[1]):
            node, sent = send["node"], send["sent"]
            starts = self.seen.starts.get(node, [0])
            boot = bisect.bisect(starts, sent)
            allowing = self._allowing(send, at, service)
            if boot != bisect.bisect(starts, at) or not allowing:
                continue
            slack = self.bound("rollback_slack_s") + self.seen.margin
            for seen_at, floor in floors[node, boot]:
                if self.kinds(("node", node), seen_at - self.contact, at):
                    slack = max(slack, SLOWED * self.bound("rollback_slack_s")
                                + self.seen.margin)
                if floor > allowing[-1] and sent > seen_at + slack:
                    broken.append({"send": send, "at": at, "by": service,
                                   "shown": floor, "shown_at": seen_at})
                    break
            known = floors[node, boot]
            if not known or known[-1][1] < allowing[0]:
                known.append((at, allowing[0]))
        return broken

    def denied(self):
        """Own 3xx and 4xx for what every version that may be in force
        allows."""
        calm, always = [], []
        for send in self.seen.sends:
            status = send["status"]
            if send["seal"] or not 300 <= status < 500 or status in NOT_RUN:
                continue
            bound = self._config_bound(send["node"], send["sent"],
                                       send["done"])
            if all(send["route"] in one["routes"]
                   for one in self.seen.versions) and status in (401, 403,
                                                                 404):
                always.append(send)
            if bound is not None and all(
                    send["route"] in one["routes"] for one in
                    self._possible(send["sent"], send["done"], bound)):
                calm.append(send)
        few = 5 + len(self.seen.sends) / 500
        return (calm if len(calm) > few else []) + (
            always if len(always) > 10 else [])

    def leaving(self):
        broken = []
        for one in self.seen.leavings:
            acked = one["acked"]
            if self.kinds("core", acked - self.contact, acked):
                continue
            self.judged["leavings judged"] += 1
            limit = acked + self.bound("drain_s") + self.seen.margin
            for late in self.arrivals_at[one["instance"],
                                         one["incarnation"]]:
                send = self.send_of.get(late["tag"])
                if (late["at"] > limit and send and
                        self.in_touch(send["node"], send["sent"], late["at"])
                        and not self.held_up(one["instance"], late["at"])):
                    broken.append({"send": send, "arrival": late,
                                   "acked": acked})
        return broken

    def said(self):
        """Arrivals from a node that has passed on that an instance leaves."""
        told = {}
        for send in self.seen.sends:
            name = send["seal"].partition(".")[0]
            for run in self.runs_of[send["tag"]] if name else ():
                if run["instance"] == name and run["leaving"]:
                    key = (name, run["incarnation"], send["node"])
                    told[key] = min(told.get(key, send["done"]), send["done"])
        self.judged["nodes told by an answer"] += len(told)
        broken = []
        for (name, boot, node), at in told.items():
            limit = at + self.bound("drain_s") + self.seen.margin
            for late in self.arrivals_at[name, boot]:
                send = self.send_of.get(late["tag"])
                if (send and send["node"] == node and send["sent"] > limit and
                        not self.held_up(name, late["at"]) and
                        not {"stop", "kill", "pause"} &
                        self.kinds(("node", node), at, late["at"])):
                    broken.append({"send": send, "arrival": late, "told": at})
        return broken

    def rest(self):
        broken = []
        for one in self.seen.arrivals:
            send = self.send_of.get(one["tag"])
            if not one["rest_ms"] or one["misdirected"] or not send:
                continue
            start, end = one["at"] + 500 + self.seen.margin, (
                one["at"] + one["rest_ms"])
            early = [late for late in self.arrivals_at[one["instance"],
                                                       one["incarnation"]]
                     if start < late["at"] < end and
                     self.send_of.get(late["tag"], {}).get("node") ==
                     send["node"]]
            place = self.seen.place_of.get(one["instance"])
            self.judged["requests for rest"] += 1
            if len(early) > 2 and not (
                    self.kinds(("node", send["node"]),
                               one["at"] - self.contact, end) or
                    "link" in self.kinds(place, one["at"] - self.contact,
                                         end)):
                broken.append({"told": one, "node": send["node"],
                               "arrivals": early})
        return broken

    def lost(self):
        found = []
        for send in self.seen.sends:
            if (send["answer"] != "closed" or not send["reused"] or
                    not self.arrivals_of[send["tag"]] or
                    send["done"] - send["sent"] >=
                    TIMEOUT_MS - self.seen.margin or
                    not self.in_touch(send["node"], send["sent"],
                                      send["done"])):
                continue
            places = {self.seen.place_of.get(one["instance"])
                      for one in self.arrivals_of[send["tag"]]}
            if not any(self.kinds(place, send["sent"] - 2 * self.contact,
                                  send["done"]) for place in places):
                found.append(send)
        return found if len(found) > FEW else []

    def attempts(self):
        found = []
        for tag, runs in self.runs_of.items():
            sound = {run["instance"] for run in runs if not self.kinds(
                self.seen.place_of.get(run["instance"]),
                run["started"] - self.contact, run["until"])}
            if len(sound) > MAX_ATTEMPTS:
                found.append({"tag": tag, "instances": sorted(sound)})
        return found if len(found) > FEW else []

    def budget(self):
        """Arrivals beyond the first of each request, in any window."""
        window, half = (self.bound("retry_window_s"),
                        self.bound("retry_window_s") // 2)
        asked, extra, known = defaultdict(list), defaultdict(list), set()
        for send in self.seen.sends:
            for service in {one["routes"].get(send["route"]) for one in
                            self._possible(send["sent"], send["done"],
                                           self.bound("config_apply_s"))
                            } - {None}:
                asked[service].append(send["sent"])
        for one in sorted(self.seen.arrivals, key=lambda one: one["at"]):
            if (one["tag"], one["service"]) in known:
                extra[one["service"]].append(one["at"])
            known.add((one["tag"], one["service"]))
        broken = []
        for service, times in extra.items():
            asked[service].sort()
            for number, end in enumerate(times):
                repeats = number + 1 - bisect.bisect_right(times, end - window)
                requests = max(
                    bisect.bisect_right(asked[service], to) -
                    bisect.bisect_right(asked[service], to - window)
                    for to in (end, end - half, end - window))
                if repeats > (self.seen.bounds["retry_budget_ratio"] * requests
                              + self.seen.bounds["retry_budget_slack"]):
                    broken.append({"service": service, "at": end,
                                   "repeats": repeats, "requests": requests})
        return broken

    def recovery(self):
        last = self.seen.impairments.last_end()
        before, after = [], []
        for send in self.seen.sends:
            served = send["result"] == "whole" and send["status"] < 300
            if send["sent"] <= last:
                before.append(served)
            elif send["sent"] > last + self.bound("recovery_s"):
                after.append(served)
        self.seen.finished = len(after)
        if before and after and sum(before) * 4 >= len(before) and (
                sum(after) * 4 < len(after)):
            return [f"{sum(after)} of {len(after)} requests were served"]
        return []
