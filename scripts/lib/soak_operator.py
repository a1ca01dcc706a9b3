"""The operator of a soak: writes versions that add and move routes."""

import time

import standin

HOME = {"desk": "annex", "annex": "desk"}
MOVED = 4
ADDED = 3  # added routes that stay; older ones are removed


class Operator:
    """`versions` has, for each version, when it was sent and acknowledged and
    which service each route has."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.versions = []
        self.kinds = {}
        self.routes = {"look": "desk", "pay": "desk", "list": "annex",
                       "book": "annex"}
        self.unsafe = {"pay", "book"}
        for number in range(MOVED):
            self.routes[f"move{number}"] = "desk"

    async def write_first(self):
        await self._put()

    async def write_next(self):
        """Adds a route, moves one and removes an old one."""
        number = len(self.versions)
        moved = f"move{number % MOVED}"
        self.routes[moved] = HOME[self.routes[moved]]
        self.routes[f"add{number}"] = "desk"
        self.routes.pop(f"add{number - ADDED}", None)
        await self._put()

    def kind(self, route):
        return "unsafe" if route in self.unsafe else "safe"

    async def _put(self):
        version = {"sent": int(time.monotonic() * 1000), "acked": None,
                   "routes": dict(self.routes)}
        self.versions.append(version)
        await self.fleet.put_config(
            [standin.route(name, self.kind(name), service, timeout_s=2.0)
             for name, service in self.routes.items()], list(HOME))
        version["acked"] = int(time.monotonic() * 1000)

    def known_routes(self):
        """Routes of the newest acknowledged version, and the ones removed
        last."""
        names = {}
        for version in self.versions[-3:]:
            names.update(version["routes"])
        return sorted(names)
