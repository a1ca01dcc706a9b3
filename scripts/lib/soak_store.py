"""The store of a soak: one log, with a listener for each node, that can be
down, slow, lose answers, turn nodes away and forget its history."""

import asyncio

from store import Store
from wire import http_answer

SLOW_S = 1.2
LOST_S = 5.0  # a connection that has lost an answer returns nothing further
LATE_S = 9.0  # of a store that is broken on purpose
TOPIC_OF_BREAK = {"configuration": "keyed.op", "leaving": "keyed.servers"}


class SoakStore(Store):
    """What the operator and the instances write is acknowledged as soon as the
    store serves everybody again."""

    def __init__(self, record, broken=""):
        super().__init__(record)
        self.late_topic = TOPIC_OF_BREAK.get(broken)
        self.late = 0  # appends before it keep their time
        self.how, self.nodes = "", None
        self.views = []
        self.turn = asyncio.Lock()  # appends keep their order

    async def serve_node(self, number):
        view = NodeView(self, number)
        await view.start()
        self.views.append(view)
        return "127.0.0.1", view.port

    def impair(self, how, nodes=None, some=False):
        del some
        if how == "forgets":
            self.forget_history()
        else:
            self.how, self.nodes = how, nodes

    def heal(self):
        self.how, self.nodes = "", None

    def forget_history(self):
        for topic, log in self.topics.items():
            self.base[topic] = self.base.get(topic, 0) + len(log)
            log.clear()
        self.pages.clear()

    def is_away(self):
        return self.how in ("silent", "error") and self.nodes is None

    async def append(self, topic, records):
        async with self.turn:
            while self.is_away():
                await asyncio.sleep(0.05)
        if self.late and topic == self.late_topic:
            asyncio.get_running_loop().call_later(
                LATE_S, lambda: asyncio.ensure_future(
                    super(SoakStore, self).append(topic, records)))
            return 0
        return await super().append(topic, records)


class NodeView(Store):
    """The same log as one node is served it."""

    def __init__(self, store, number):
        super().__init__(store.record)
        self.store, self.number = store, number
        self.topics, self.values = store.topics, store.values
        self.pages, self.base = store.pages, store.base
        self.changed = store.changed
        self.calls = 0

    @property
    def how(self):
        is_hit = self.store.nodes is None or self.number in self.store.nodes
        return self.store.how if is_hit else ""

    @property
    def down(self):
        return self.how == "silent"

    @down.setter
    def down(self, value):
        """Set by the base; this store's own state counts."""

    async def answer(self, method, target, body):
        self.calls += 1
        how = self.how
        if how == "error":
            return http_answer(503)
        if how == "limit":
            return http_answer(429)
        if how == "close":
            raise ConnectionResetError
        if how == "slow":
            await asyncio.sleep(SLOW_S)
        answer = await super().answer(method, target, body)
        if self.how == "loses" and self.calls % 2:
            await asyncio.sleep(LOST_S)
            raise ConnectionResetError
        return answer
