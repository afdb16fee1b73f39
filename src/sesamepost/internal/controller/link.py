"""Delivery of messages to the daemon that is the controller."""

import asyncio
from collections import Counter
from collections.abc import Callable
from typing import Any

from sesamepost.internal.documents.views import Views
from sesamepost.internal.identity import NodeId
from sesamepost.internal.wire.pool import PeerPool
from sesamepost.internal.wire.stream import StreamClosedError


class ControllerLink:
    """Delivers messages to the controller, which may be this daemon itself.

    A message that cannot be delivered is dropped and counted, because every sender
    repeats its message until the documents show its effect.
    """

    def __init__(
        self,
        node: NodeId,
        pool: PeerPool,
        views: Views,
        deliver_locally: Callable[[Any], None],
    ) -> None:
        self.node = node
        self.pool = pool
        self.views = views
        self.deliver_locally = deliver_locally
        self.counters: Counter[str] = Counter()
        self.tasks: set[asyncio.Task] = set()
        self.reached_controller = False

    def send(self, message: Any) -> None:
        """Send ``message`` to the controller that the newest document names."""
        controller = self.views.controller
        if controller is None:
            self.counters["dropped_without_controller"] += 1
            return
        if controller.node == self.node:
            self.reached_controller = True
            self.deliver_locally(message)
            return
        stream = self.pool.streams.get(controller.node)
        if stream is not None and stream.is_open:
            self.reached_controller = True
            stream.send(message)
            return
        task = asyncio.ensure_future(self._dial_and_send(controller, message))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _dial_and_send(self, controller, message: Any) -> None:
        try:
            stream = await self.pool.stream_to(controller.address, controller.node)
            stream.send(message)
            self.reached_controller = True
        except StreamClosedError:
            self.reached_controller = False
            self.counters["dropped_unreachable"] += 1
