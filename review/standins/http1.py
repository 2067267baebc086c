"""Minimal HTTP/1.1 messages for the stand-ins, on asyncio streams."""
import asyncio


class Closed(Exception):
    """The peer closed the connection before a complete message arrived."""


async def read_head(reader):
    """Returns the first line and the headers, as a list of pairs with names in lower case."""
    try:
        block = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        raise Closed from error
    lines = block.decode("latin-1").split("\r\n")[:-2]
    headers = []
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers.append((name.strip().lower(), value.strip()))
    return lines[0], headers


def header(headers, name):
    for known, value in headers:
        if known == name.lower():
            return value
    return None


async def read_chunk(reader):
    """Returns the next chunk of a body; empty at its end."""
    try:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        raise Closed from error
    return data[:-2]


async def read_body(reader, headers, is_response=False):
    if (header(headers, "transfer-encoding") or "").lower() == "chunked":
        body = b""
        while chunk := await read_chunk(reader):
            body += chunk
        return body
    length = header(headers, "content-length")
    try:
        if length is None:
            return await reader.read() if is_response else b""
        return await reader.readexactly(int(length))
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        raise Closed from error


def request_bytes(method, target, headers, body=b""):
    text = f"{method} {target} HTTP/1.1\r\n"
    for name, value in headers:
        text += f"{name}: {value}\r\n"
    if body or method in ("POST", "PUT"):
        text += f"Content-Length: {len(body)}\r\n"
    return text.encode("latin-1") + b"\r\n" + body


REASONS = {200: "OK", 201: "Created", 202: "Accepted", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 410: "Gone", 421: "Misdirected Request",
           429: "Too Many Requests", 503: "Service Unavailable"}


def response_bytes(status, headers, body=b""):
    text = f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\n"
    for name, value in headers:
        text += f"{name}: {value}\r\n"
    text += f"Content-Length: {len(body)}\r\n"
    return text.encode("latin-1") + b"\r\n" + body


async def call(address, method, target, headers=(), body=b"", timeout=10.0):
    """Sends one request on a new connection. Returns the status, the headers and the body; None if there was no complete answer."""
    host, port = address.rsplit(":", 1)

    async def exchange():
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(request_bytes(method, target, list(headers) or [("Host", address)], body))
            await writer.drain()
            line, answered = await read_head(reader)
            status = int(line.split(" ")[1])
            return status, answered, await read_body(reader, answered, True)
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, Closed, asyncio.TimeoutError, ValueError):
        return None
