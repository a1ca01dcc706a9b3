"""Applies a schedule of faults to one user's site while load runs."""

import json
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import web

REPLACED_AT_ONCE = 3
WORKERS = 16
REPEAT = 0.15
KILL_MARGIN_MS = 300
POLL_S = 1.0
WATCH_LIMIT = ("--timeout", "2s")
LOAD_END_S = 90


def now_ms():
    return int(time.time() * 1000)


class FaultySite:
    """Runs the steps, the replacements, the load and the watch of one site."""

    def __init__(self, site, schedule, seconds):
        self.site = site
        self.schedule = schedule
        self.seconds = seconds
        self.forgiven = []
        self.drains = {}
        self.races = []
        self.applied = []
        self.failures = []
        self.revision = 0
        self.publishing = threading.Lock()
        self.fleet = threading.Lock()
        self.busy = set()
        self.highest = {}
        self.reverted = []
        self.below_floor = []
        self.status_answers = 0
        self.breaches = {}
        self.events = {}
        self.stop = threading.Event()
        self.pool = ThreadPoolExecutor(WORKERS)
        self.begin_ms = 0
        self.final = {}

    def start(self):
        self.site.start_platform()
        self.site.start_proxies()
        code, answer = self.site.publish(self.site.user.rules, 0)
        if code != 0:
            self.failures.append(f"first publish: {code} {answer}")
        self.revision = 1
        late = self.site.wait_ready(30)
        if late:
            self.failures.append(f"not ready at the start: {late}")

    def begin(self, rate):
        self.load = self.site.start_load("load", rate, self.seconds, REPEAT,
                                         direct=True)
        self.begin_at = time.monotonic()
        self.begin_ms = now_ms()
        self.threads = [threading.Thread(target=target) for target in
                        (self._run_steps, self._replace_all, self._watch)]
        for thread in self.threads:
            thread.start()

    def finish(self):
        for thread in self.threads[:2]:
            thread.join()
        self.pool.shutdown()
        try:
            self.load.wait(self.seconds + LOAD_END_S)
        finally:
            self.stop.set()
            self.threads[2].join()
        self.final["in_force"] = self._in_force()

    def _sleep_until(self, at):
        time.sleep(max(0.0, self.begin_at + at - time.monotonic()))

    def _run_steps(self):
        pending = []
        for step in self.schedule.steps:
            self._sleep_until(step.at)
            pending.append(self.pool.submit(self._apply, step))
        for future in pending:
            future.result()

    def _apply(self, step):
        try:
            getattr(self, f"_{step.kind}")(step)
            self.applied.append(step)
        except Exception as failure:  # A broken harness must be seen.
            self.failures.append(f"{step}: {type(failure).__name__} {failure}")

    def _upstream(self, step):
        self.site.upstream_fault(step.service, step.instance, **step.fault)
        self._sleep_until(step.until)
        self.site.upstream_fault(step.service, step.instance, **step.undo)

    def _leave(self, step):
        instance = f"{step.service}-{step.instance}"
        incarnation = next(
            stats["incarnation"] for stats in self.site.instances()
            if stats["id"] == instance)
        self.drains[(instance, incarnation)] = now_ms()
        with self.fleet:
            self.site.drain_upstream(step.service, step.instance,
                                     linger_ms=8_000)
        self._sleep_until(step.until)
        self._restart_upstream(step, 300)

    def _crash(self, step):
        self._restart_upstream(step, int((step.until - step.at) * 1000))

    def _restart_upstream(self, step, down_ms):
        self.site.crash_upstream(step.service, step.instance, down_ms)
        time.sleep(down_ms / 1000 + 0.1)
        with self.fleet:
            self.site.announce()

    def _log(self, step):
        self.site.log_fault(**step.fault)
        self._sleep_until(step.until)
        self.site.log_fault(**step.undo)

    def _hosts(self, step):
        self.site.hosts_fault(**step.fault)
        self._sleep_until(step.until)
        self.site.hosts_fault(**step.undo)

    def _take(self, number):
        """Claims a proxy that no other step uses, or None."""
        with self.fleet:
            free = [name for name in self.site.proxies
                    if name not in self.busy]
            if not free:
                return None
            name = free[number % len(free)]
            self.busy.add(name)
            return name

    def _give_back(self, name):
        with self.fleet:
            self.busy.discard(name)

    def _forgive(self, name, start):
        port = self.site.proxies[name].port
        self.forgiven.append((f"127.0.0.1:{port}", start - KILL_MARGIN_MS,
                              now_ms() + KILL_MARGIN_MS))

    def _kill(self, step):
        name = self._take(step.instance)
        if name is None:
            return
        start = now_ms()
        self.site.kill_proxy(name)
        self._forgive(name, start)
        self._sleep_until(step.until)
        with self.fleet:
            self.site.restart_proxy(name)
        self._wait_ready(name)
        self._give_back(name)

    def _pause(self, step):
        name = self._take(step.instance)
        if name is None:
            return
        start = now_ms()
        self.site.processes.signal(name, 19)
        self._sleep_until(step.until)
        self.site.processes.signal(name, 18)
        self._forgive(name, start)
        self._give_back(name)

    def _wait_ready(self, name, timeout_s=20):
        until = time.monotonic() + timeout_s
        port = self.site.proxies[name].port
        while not web.is_ready(port):
            if time.monotonic() > until:
                self.failures.append(f"{name} is not ready {timeout_s} s "
                                     "after its start")
                return
            time.sleep(0.1)

    def _race(self, _step):
        """Two operators publish on the same base at the same moment."""
        with self.publishing:
            base = self.revision
            texts = [self.site.user.rules +
                     f"limit team r{base}-{who} rate 50/s burst 100"
                     f"  # operator {who}\n" for who in "ab"]
            with ThreadPoolExecutor(2) as two:
                answers = list(two.map(
                    lambda who: self.site.publish(texts[who], base,
                                                  f"race-{who}"), (0, 1)))
            codes = [code for code, _ in answers]
            self.races.append({"base": base, "codes": codes,
                               "answers": [answer for _, answer in answers]})
            if 0 in codes or 6 in codes or 5 in codes:
                self.revision = max(
                    [base] + [answer.get("revision", 0)
                              for code, answer in answers])

    def _replace_all(self):
        """Replaces every proxy of the start once, gracefully."""
        names = list(self.site.proxies)
        batches = -(-len(names) // REPLACED_AT_ONCE)
        gap = (self.schedule.end - 2) / batches
        for batch in range(batches):
            self._sleep_until(2 + batch * gap)
            chosen = names[batch * REPLACED_AT_ONCE:][:REPLACED_AT_ONCE]
            threads = [threading.Thread(target=self._replace, args=(name,))
                       for name in chosen]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()

    def _replace(self, name):
        while True:
            with self.fleet:
                if name not in self.busy:
                    self.busy.add(name)
                    fresh = self.site.add_proxy()
                    self.busy.add(fresh.name)
                    break
            time.sleep(0.1)
        self._wait_ready(fresh.name)
        self._give_back(fresh.name)
        self.site.processes.signal(name, 15)
        code = self.site.processes.end(name)
        with self.fleet:
            self.site.forget_proxy(name)
            self.busy.discard(name)
        if code != 0:
            self.failures.append(f"graceful end of {name}: exit code {code}")

    def _watch(self):
        """Reads what proxies say of themselves while they still run."""
        while not self.stop.wait(POLL_S):
            for proxy in list(self.site.proxies.values()):
                if proxy.name not in self.busy:
                    self._read(proxy)
            try:
                self._read_status()
                self._read_events()
            except Exception as failure:  # A blind watch must be seen.
                self.failures.append(f"watch: {type(failure).__name__} "
                                     f"{failure}")
                return

    def _read(self, proxy):
        samples = web.read_metrics(proxy.inner_port)
        for name, value in samples.items():
            if "invariant_breaches_total" in name and value > 0:
                self.breaches[f"{proxy.name} {name}"] = value

    def _read_status(self):
        """Notes revisions that fall and services below their floor."""
        known = dict(self.site.incarnation)
        status = self._status()
        for node in status.get("nodes", ()):
            name = node["node"]
            if known.get(name) != self.site.incarnation.get(name):
                continue  # Which of its two processes answered is unknown.
            key = f"{name} {self.site.incarnation.get(name)}"
            before = self.highest.get(key, 0)
            if node["revision"] < before:
                self.reverted.append({"process": key, "from": before,
                                      "to": node["revision"]})
            self.highest[key] = max(before, node["revision"])
        self.status_answers += bool(status.get("nodes"))
        self.below_floor += [service["service"] for service in
                             status.get("services", ())
                             if service["below_floor"]]

    def _status(self):
        _, output = self.site.command(*WATCH_LIMIT, "status")
        try:
            return json.loads(output[:output.rfind("}") + 1])
        except json.JSONDecodeError:
            return {}

    def _read_events(self):
        code, output = self.site.command(*WATCH_LIMIT, "timeline",
                                         "--since", "10s")
        if code != 0:
            return
        for event in json.loads(output):
            self.events[json.dumps(event, sort_keys=True)] = event

    def _in_force(self):
        """Waits a little for all proxies to agree; returns what they have."""
        until = time.monotonic() + 5
        while True:
            have = {node["node"]: node["revision"]
                    for node in self._status().get("nodes", ())}
            have = {name: have.get(name) for name in self.site.proxies}
            if len(set(have.values())) == 1 or time.monotonic() > until:
                return have
            time.sleep(0.2)
