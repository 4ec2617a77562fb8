"""A server of the users' platform for high rates, as a process of its own.

Usage: quick_server.py ID WORK_MS; prints its address, then one line with the
Request-Id of each request that it runs. Answers as PROTOCOL.md says.
"""

import asyncio
import sys

NAME, WORK_S = sys.argv[1], float(sys.argv[2]) / 1000


async def serve_channel(reader, writer):
    try:
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            fields = {}
            for line in head.decode("latin-1").split("\r\n")[1:]:
                name, _, value = line.partition(":")
                fields[name.lower()] = value.strip()
            length = int(fields.get("content-length", 0))
            if length:
                await reader.readexactly(length)
            if fields.get("expect-instance") != NAME:
                writer.write(b"HTTP/1.1 421 X\r\nInstance-Id: " +
                             NAME.encode() + b"\r\nContent-Length: 0\r\n\r\n")
                continue
            request_id = fields["request-id"]
            sys.stdout.write(request_id + "\n")
            sys.stdout.flush()
            await asyncio.sleep(WORK_S)
            writer.write(f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\n"
                         f"Server-Seal: seal-{NAME}\r\n"
                         "Content-Length: 2\r\n\r\nok".encode())
    except (asyncio.IncompleteReadError, ConnectionError):
        pass
    finally:
        writer.close()


async def main():
    server = await asyncio.start_server(serve_channel, "127.0.0.1", 0,
                                        backlog=4096, limit=1 << 16)
    port = server.sockets[0].getsockname()[1]
    print(f"127.0.0.1:{port}", flush=True)
    await server.serve_forever()


asyncio.run(main())
