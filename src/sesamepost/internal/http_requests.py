"""Request factories for the low-level server of ``aiohttp``."""

import asyncio
from collections.abc import Callable

from aiohttp.web_request import BaseRequest


def bounded_request_factory(max_body_bytes: int) -> Callable[..., BaseRequest]:
    """Return a request factory for the running loop that limits the body size."""
    loop = asyncio.get_running_loop()

    def make_request(message, payload, protocol, writer, task) -> BaseRequest:
        return BaseRequest(
            message,
            payload,
            protocol,
            writer,
            task,
            loop,
            client_max_size=max_body_bytes,
        )

    return make_request
