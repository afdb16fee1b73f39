"""A worker that answers each request with a prefix and then repeats some bytes."""

import asyncio
import socket
import sys
import threading
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from sesamepost.internal.wire.pool import Address

BLOCK_BYTES = 64 << 10


def flood(connection: socket.socket, prefix: bytes, repeated: bytes) -> None:
    """Answer the requests of one connection until it is closed.

    Without ``repeated`` bytes, the answer ends with the prefix.
    """
    block = repeated * (1 + BLOCK_BYTES // len(repeated)) if repeated else b""
    with connection:
        try:
            while connection.recv(BLOCK_BYTES):
                connection.sendall(prefix)
                while block:
                    connection.sendall(block)
        except OSError:
            return


def main() -> None:
    """Print the port and serve until the process is killed."""
    prefix_size = int(sys.argv[1])
    prefix = sys.stdin.buffer.read(prefix_size)
    repeated = sys.stdin.buffer.read()
    with socket.create_server(("127.0.0.1", 0), backlog=512) as server:
        print(server.getsockname()[1], flush=True)
        while True:
            connection, _ = server.accept()
            threading.Thread(
                target=flood, args=(connection, prefix, repeated), daemon=True
            ).start()


@asynccontextmanager
async def flooding_worker(prefix: bytes, repeated: bytes) -> AsyncIterator[Address]:
    """Run a worker in a process of its own, which takes no time of this event loop."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        __file__,
        str(len(prefix)),
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
    )
    try:
        process.stdin.write(prefix + repeated)
        await process.stdin.drain()
        process.stdin.close()
        yield Address("127.0.0.1", int(await process.stdout.readline()))
    finally:
        process.kill()
        await process.wait()


if __name__ == "__main__":
    main()
