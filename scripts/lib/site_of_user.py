"""One user's platform stand-ins, upstreams and proxies as real processes."""

import json
import subprocess
import time

import web

FLEET_KEY_BYTES = 32
PORTS_OF_PROXIES = 200
PORTS_OF_SERVICE = 40


class Proxy:
    def __init__(self, name, zone, port, inner_port):
        self.name = name
        self.zone = zone
        self.port = port
        self.inner_port = inner_port


class Site:
    """Everything that serves one user."""

    def __init__(self, user, processes, build, ports, proxies, seed=1):
        self.user = user
        self.processes = processes
        self.build = build
        self.directory = processes.directory
        self.proxy_count = proxies
        self.seed = seed
        self.proxies = {}
        self.started = 0
        self.incarnation = {}
        self.log_port, self.log_control = ports, ports + 1
        self.hosts_port, self.hosts_control = ports + 2, ports + 3
        self.balancer_port, self.balancer_control = ports + 4, ports + 5
        self.first_proxy_port = ports + 10
        self.first_service_port = self.first_proxy_port + PORTS_OF_PROXIES
        self.control_of = {}
        self.direct_targets = None
        self.key = user.name.ljust(FLEET_KEY_BYTES, "k")

    @staticmethod
    def ports_needed(user):
        return 10 + PORTS_OF_PROXIES + PORTS_OF_SERVICE * len(user.services)

    def name(self, part):
        return f"{self.user.name}-{part}"

    def standin(self, program):
        return self.build / "tests" / "standin" / program

    def start_platform(self, lag_ms=500):
        self._start_ready("log", "standin_log", "--port", self.log_port,
                          "--control-port", self.log_control)
        self._start_ready("hosts", "standin_hosts", "--port",
                          self.hosts_port, "--control-port",
                          self.hosts_control, "--lag-ms", lag_ms)
        for number, service in enumerate(self.user.services):
            port = self.first_service_port + number * PORTS_OF_SERVICE
            self.control_of[service.name] = port
            self._start_ready(
                service.name, "standin_upstream", "--service", service.name,
                "--port", port + 1, "--control-port", port, "--instances",
                service.instances, "--slots", service.slots, "--service-ms",
                service.service_ms, "--cold-ms", 500, "--zones",
                ",".join(self.user.zones), "--seed", self.seed)
        self._start_ready("balancer", "standin_balancer", "--port",
                          self.balancer_port, "--control-port",
                          self.balancer_control)

    def _start_ready(self, part, program, *flags):
        name = self.name(part)
        self.processes.start(name, [self.standin(program), *flags])
        self.processes.wait_for_line(name, "ready ")

    def start_proxies(self):
        for _ in range(self.proxy_count):
            self.add_proxy(announce=False)
        self.announce()
        self._wait_listed()

    def _wait_listed(self, timeout_s=10):
        """Waits until the lagging list shows every proxy and each of them
        answers."""
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            listed = {host["id"] for host in
                      web.get(self.hosts_port, "/hosts")["hosts"]}
            if listed >= set(self.proxies) and all(
                    web.read_metrics(proxy.inner_port)
                    for proxy in self.proxies.values()):
                return
            time.sleep(0.05)
        raise RuntimeError(f"{self.user.name}: proxies do not answer")

    def add_proxy(self, announce=True):
        """Starts a proxy under a new name and new ports."""
        number = self.started
        self.started += 1
        port = self.first_proxy_port + 2 * number
        zone = self.user.zones[number % len(self.user.zones)]
        proxy = Proxy(self.name(f"proxy-{number}"), zone, port, port + 1)
        self.proxies[proxy.name] = proxy
        self._launch(proxy)
        if announce:
            self.announce()
        return proxy

    def _launch(self, proxy):
        self.incarnation[proxy.name] = int(time.time() * 1000)
        self.processes.start(proxy.name, [
            self.build / "peridotarchd", "--node", proxy.name, "--zone",
            proxy.zone, "--address", "127.0.0.1", "--port", proxy.port,
            "--inner-port", proxy.inner_port, "--log",
            f"127.0.0.1:{self.log_port}", "--hosts",
            f"127.0.0.1:{self.hosts_port}", "--fleet-key", self.key])

    def restart_proxy(self, name):
        """Starts a killed proxy again under its name."""
        self._launch(self.proxies[name])
        self.announce()

    def announce(self):
        """Tells the list of hosts and the balancer of all that there is."""
        hosts = [host for service in self.user.services
                 for host in web.get(self.control_of[service.name], "/_hosts")]
        hosts += [{"service": "peridotarch", "id": proxy.name,
                   "address": "127.0.0.1", "port": proxy.inner_port,
                   "zone": proxy.zone, "state": "live",
                   "incarnation": self.incarnation[proxy.name]}
                  for proxy in self.proxies.values()]
        web.post(self.hosts_control, "/_set", {"hosts": hosts})
        self.set_backends()

    def set_backends(self):
        backends = [f"127.0.0.1:{proxy.port}"
                    for proxy in self.proxies.values()]
        web.post(self.balancer_control, "/_set", {"backends": backends})
        if self.direct_targets:
            fresh = self.direct_targets.with_suffix(".new")
            fresh.write_text(json.dumps(backends))
            fresh.replace(self.direct_targets)

    def retire_proxy(self, name):
        """Shuts a proxy down gracefully and returns its exit code."""
        self.processes.signal(name, 15)
        code = self.processes.end(name)
        self.forget_proxy(name)
        return code

    def forget_proxy(self, name):
        """Takes a proxy off the list of hosts and out of the balancer."""
        del self.proxies[name]
        self.announce()

    def kill_proxy(self, name):
        self.processes.kill(name)

    def wait_ready(self, timeout_s=20):
        """Waits until every proxy is ready, also for the balancer; returns
        the names of those that are not."""
        until = time.monotonic() + timeout_s
        late = list(self.proxies.values())
        while late and time.monotonic() < until:
            ready = {one["backend"] for one in
                     web.get(self.balancer_control, "/") if one["ready"]}
            late = [proxy for proxy in late
                    if f"127.0.0.1:{proxy.port}" not in ready
                    or not web.is_ready(proxy.port)]
            time.sleep(0.05)
        return [proxy.name for proxy in late]

    def command(self, *words, timeout_s=30):
        """Runs the operators' command; returns (exit code, output)."""
        done = subprocess.run(
            [self.build / "peridotarch", "--log",
             f"127.0.0.1:{self.log_port}", "--hosts",
             f"127.0.0.1:{self.hosts_port}", "--fleet-key", self.key,
             "--author", self.user.name, "--json", *words],
            capture_output=True, text=True, timeout=timeout_s, check=False)
        return done.returncode, done.stdout or done.stderr

    def publish(self, text, base, name="rules"):
        """Publishes a rules file; returns (exit code, answer or text)."""
        path = self.directory / f"{self.name(name)}.txt"
        path.write_text(text)
        code, output = self.command("publish", str(path), "--base", str(base))
        try:
            return code, json.loads(output)
        except json.JSONDecodeError:
            return code, {"text": output}

    def start_load(self, name, rate, seconds, repeat, direct=False):
        """Starts callers; direct ones choose their proxies themselves."""
        mix = self.directory / f"{self.name(name)}.mix.json"
        mix.write_text(json.dumps({"routes": list(self.user.routes)}))
        targets = self.directory / f"{self.name(name)}.targets.json"
        targets.write_text(json.dumps([f"127.0.0.1:{self.balancer_port}"]))
        if direct:
            self.direct_targets = targets
            self.set_backends()
        count = int(rate * seconds * 2) + 1
        return self.processes.start(self.name(name), [
            self.standin("load_tool"), "--name", self.name(name),
            "--targets-file", targets, "--mix", mix, "--rate", rate,
            "--seconds", seconds, "--count", count, "--repeat", repeat,
            "--seed", self.seed, "--log", self.load_log(name), "--out",
            self.load_summary(name)])

    def load_log(self, name):
        return self.directory / f"{self.name(name)}.sends.jsonl"

    def load_summary(self, name):
        return self.directory / f"{self.name(name)}.summary.json"

    def busiest(self, service):
        """Returns the number of the instance that has run the most work."""
        stats = web.get(self.control_of[service], "/_stats")
        counts = [one["runs"] for one in stats]
        return counts.index(max(counts))

    def upstream_fault(self, service, instance, **fault):
        web.post(self.control_of[service], "/_faults",
                 {"instance": f"{service}-{instance}", **fault})

    def drain_upstream(self, service, instance, linger_ms=12_000):
        web.post(self.control_of[service], "/_drain", {
            "instance": f"{service}-{instance}", "linger_ms": linger_ms})
        self.announce()

    def crash_upstream(self, service, instance, down_ms):
        web.post(self.control_of[service], "/_crash", {
            "instance": f"{service}-{instance}", "down_ms": down_ms})

    def log_fault(self, **fault):
        web.post(self.log_control, "/_faults", fault)

    def hosts_fault(self, **fault):
        web.post(self.hosts_control, "/_faults", fault)

    def runs(self):
        """Returns the upstreams' own records of all work."""
        runs = []
        for service in self.user.services:
            at = 0
            while True:
                page = web.get(self.control_of[service.name],
                               f"/_runs?from={at}")
                runs += page["runs"]
                if page["next"] == at:
                    break
                at = page["next"]
        path = self.directory / f"{self.name('runs')}.json"
        path.write_text(json.dumps(runs))
        return runs

    def instances(self):
        """Returns the upstreams' own counts, instance by instance."""
        return [stats for service in self.user.services
                for stats in web.get(self.control_of[service.name], "/_stats")]

    def breaches(self):
        """Returns {invariant: count} over all proxies that answer, and the
        number that answer."""
        total, answering = {}, 0
        for proxy in self.proxies.values():
            samples = web.read_metrics(proxy.inner_port)
            answering += bool(samples)
            for name, value in samples.items():
                if "invariant_breaches_total" in name and value > 0:
                    total[name] = total.get(name, 0) + value
        return total, answering
