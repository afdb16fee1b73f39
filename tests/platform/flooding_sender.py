"""Sends requests without end over several connections at once."""

import asyncio
import socket
import sys
import threading
import time

from sesamepost.internal.wire.pool import Address

BLOCK_BYTES = 64 << 10


def flood(address: tuple[str, int], prefix: bytes, repeated: bytes, end: float) -> None:
    """Send until the connection is closed, or until ``end``."""
    block = repeated * (1 + BLOCK_BYTES // len(repeated))
    try:
        with socket.create_connection(address) as connection:
            connection.settimeout(end - time.monotonic())
            connection.sendall(prefix)
            while time.monotonic() < end:
                connection.sendall(block)
    except OSError:
        return


def main() -> None:
    """Flood the port from as many threads as the arguments say."""
    host, port, connections, duration_s, prefix_size = sys.argv[1:6]
    prefix = sys.stdin.buffer.read(int(prefix_size))
    repeated = sys.stdin.buffer.read()
    end = time.monotonic() + float(duration_s)
    arguments = ((host, int(port)), prefix, repeated, end)
    threads = [
        threading.Thread(target=flood, args=arguments) for _ in range(int(connections))
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


async def send_flood(
    address: Address,
    prefix: bytes,
    repeated: bytes,
    connections: int,
    duration_s: float,
) -> None:
    """Flood an address from a process of its own until all connections have ended."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        __file__,
        address.host,
        str(address.port),
        str(connections),
        str(duration_s),
        str(len(prefix)),
        stdin=asyncio.subprocess.PIPE,
    )
    try:
        await process.communicate(prefix + repeated)
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()


if __name__ == "__main__":
    main()
