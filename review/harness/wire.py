"""A small HTTP/1.1 server and client side on asyncio streams, for stand-ins."""

import asyncio
import contextlib


class Message:
    """A request or response: start line, headers in lower case, body."""

    def __init__(self, start, headers, body):
        self.start = start
        self.headers = headers
        self.body = body

    @property
    def method(self):
        return self.start.split(" ", 2)[0]

    @property
    def target(self):
        return self.start.split(" ", 2)[1]

    @property
    def status(self):
        return int(self.start.split(" ", 2)[1])

    def header(self, name, default=None):
        return self.headers.get(name.lower(), default)


async def read_head(reader):
    """Returns (start line, headers) or None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunks(reader):
    body = b""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            return body
        body += data[:-2]


async def read_message(reader, head_only=False):
    """Returns a Message, or None if the connection ends before it is complete."""
    head = await read_head(reader)
    if head is None:
        return None
    start, headers = head
    try:
        if head_only:
            body = b""
        elif "chunked" in headers.get("transfer-encoding", ""):
            body = await read_chunks(reader)
        else:
            body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None
    return Message(start, headers, body)


def response(status, reason, headers=(), body=b""):
    lines = [f"HTTP/1.1 {status} {reason}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def request(method, target, host, headers=(), body=b""):
    lines = [f"{method} {target} HTTP/1.1", f"Host: {host}"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def close(writer):
    writer.close()
    with contextlib.suppress(Exception):
        await writer.wait_closed()


async def call(address, data, timeout):
    """Sends bytes on a new connection and returns the Message that answers, None without one; TimeoutError after the time."""

    async def exchange():
        reader, writer = await asyncio.open_connection(*address)
        try:
            writer.write(data)
            return await read_message(reader)
        finally:
            await close(writer)

    return await asyncio.wait_for(exchange(), timeout)
