"""A small HTTP/1.1 server and client for the stand-ins. They do what PROTOCOL.md tells of servers, callers and the platform."""

import asyncio
import socket
import struct


class Request:
    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body

    def header(self, name, default=""):
        return self.headers.get(name.lower(), default)


class Connection:
    """One accepted connection. Its requests are handled one after the other."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer
        self.restingSince = None
        self.surplus = None
        self.requests = 0

    def reset(self):
        sock = self.writer.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.writer.transport.abort()

    async def send(self, data):
        self.writer.write(data)
        await self.writer.drain()

    async def respond(self, status, headers, body):
        lines = [f"HTTP/1.1 {status} X"] + [f"{name}: {value}" for name, value in headers]
        lines.append(f"Content-Length: {len(body)}")
        await self.send(("\r\n".join(lines) + "\r\n\r\n").encode() + body)

    def isClosedByCaller(self):
        return self.reader.at_eof() or self.writer.transport.is_closing()


async def readHead(reader, firstByte=b""):
    head = firstByte + await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def readBody(reader, headers, isResponse=False):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            part = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += part[:-2]
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return await reader.read() if isResponse else b""


async def serve(ip, port, handler, onFirstByte=None):
    """`handler(connection, request)` answers. `onFirstByte(connection)` may end a connection before its next request is read."""

    async def run(reader, writer):
        connection = Connection(reader, writer)
        try:
            while True:
                first = await reader.read(1)
                if not first:
                    break
                if onFirstByte is not None and not onFirstByte(connection):
                    return
                line, headers = await readHead(reader, first)
                method, target, _ = line.split(" ", 2)
                body = await readBody(reader, headers)
                connection.requests += 1
                await handler(connection, Request(method, target, headers, body))
                connection.restingSince = asyncio.get_running_loop().time()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(run, ip, port, limit=1 << 22, reuse_address=True)


async def call(ip, port, method, target, headers=(), body=b"", timeout=6.0, sourceIp=None):
    """One request on a new connection. Returns (status, headers, body), or None if no whole answer came."""

    async def run():
        reader, writer = await asyncio.open_connection(ip, port, limit=1 << 24)
        try:
            lines = [f"{method} {target} HTTP/1.1"] + [f"{name}: {value}" for name, value in headers]
            if body or method in ("POST", "PUT"):
                lines.append(f"Content-Length: {len(body)}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            await writer.drain()
            line, answered = await readHead(reader)
            while line.split(" ")[1].startswith("1"):
                line, answered = await readHead(reader)
            return int(line.split(" ")[1]), answered, await readBody(reader, answered, isResponse=True)
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(run(), timeout)
    except (asyncio.TimeoutError, OSError, asyncio.IncompleteReadError, IndexError, ValueError):
        return None
