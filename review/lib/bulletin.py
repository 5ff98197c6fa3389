"""Stand-in bulletin: tells that nothing is new, each second. The list itself stands in the configuration.

    python -m review.lib.bulletin

Prints its port, then serves until it is ended.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import struct


async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Serve one connection: read the number of the last event, then send an empty frame each second."""
    with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
        last = struct.unpack(">Q", await reader.readexactly(8))[0]
        while True:
            writer.write(struct.pack(">IQB", 9, last, 0))
            await writer.drain()
            await asyncio.sleep(1.0)
    writer.close()


async def main() -> None:
    """Listen, and serve until ended."""
    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    print(json.dumps(server.sockets[0].getsockname()[1]), flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main())
