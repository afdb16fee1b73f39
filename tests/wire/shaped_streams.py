"""Streams over a link of limited bandwidth, on an event loop with a virtual clock."""

import asyncio
import selectors
from collections.abc import Coroutine

from sesamepost.internal.identity import new_node_id
from sesamepost.internal.wire.handshake import Handshake
from sesamepost.internal.wire.link_sender import LinkSender
from sesamepost.internal.wire.stream import PeerStream

KEY = b"shared key of the peers"


class VirtualSelector(selectors.SelectSelector):
    """Skips each wait and sets the clock forward instead."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout=None):
        self.now += timeout or 0.0
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose results do not depend on the speed of the machine."""

    def __init__(self) -> None:
        self.selector = VirtualSelector()
        super().__init__(self.selector)

    def time(self) -> float:
        return self.selector.now


def run_virtually(main: Coroutine):
    """Return the result of a coroutine, run on a virtual clock."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)


class ShapedLink:
    """Carries the bytes of all transports in the order in which they were written."""

    def __init__(self, bytes_per_s: float, delay_s: float) -> None:
        self.bytes_per_s = bytes_per_s
        self.delay_s = delay_s
        self.free_at = 0.0
        self.carried_bytes = 0


class ShapedTransport:
    """One direction of a stream; like a kernel, it takes all bytes at once."""

    def __init__(self, link: ShapedLink) -> None:
        self.link = link
        self.peer: PeerStream | None = None

    def write(self, data: bytes) -> None:
        loop = asyncio.get_running_loop()
        link = self.link
        link.free_at = max(loop.time(), link.free_at) + len(data) / link.bytes_per_s
        link.carried_bytes += len(data)
        loop.call_at(link.free_at + link.delay_s, self.peer.data_received, data)

    def get_write_buffer_size(self) -> int:
        return 0

    def set_write_buffer_limits(self, high: int) -> None:
        pass

    def get_extra_info(self, name: str) -> None:
        return None

    def abort(self) -> None:
        pass


async def connect(
    link: ShapedLink, sender: LinkSender, on_request
) -> tuple[PeerStream, PeerStream]:
    """Return both ends of a stream whose second end writes over ``link``."""
    nodes = new_node_id("vm-a"), new_node_id("vm-b")
    wide_link = ShapedLink(1e9, link.delay_s)
    near = PeerStream(
        Handshake(KEY, nodes[0], True, nodes[1]), lambda s, m: None, lambda s: None
    )
    far = PeerStream(
        Handshake(KEY, nodes[1], False, None), on_request, lambda s: None, link=sender
    )
    transports = ShapedTransport(wide_link), ShapedTransport(link)
    transports[0].peer, transports[1].peer = far, near
    near.connection_made(transports[0])
    far.connection_made(transports[1])
    await asyncio.gather(near.opened, far.opened)
    return near, far
