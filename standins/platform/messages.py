"""HTTP/1.1 messages over asyncio streams."""
import asyncio
import dataclasses
import json
import socket
import struct

REASONS = {200: "OK", 404: "Not Found", 410: "Gone", 412: "Failed",
           421: "Misdirected", 429: "Too Many", 503: "Unavailable"}


@dataclasses.dataclass
class Message:
    """One request; header names are in lower case."""
    method: str
    target: str
    headers: dict
    body: bytes

    def header(self, name):
        return self.headers.get(name.lower(), "")


async def read_head(reader):
    """Returns the first line's words and the headers, or None at the end."""
    try:
        text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = text[:-4].split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first.split(" ", 2), headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() != "chunked":
        return await reader.readexactly(int(headers.get("content-length", 0)))
    parts = []
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        parts.append(await reader.readexactly(size))
        await reader.readline()
        if size == 0:
            return b"".join(parts)


async def read_request(reader):
    """Returns the next request, or None once the connection has ended."""
    head = await read_head(reader)
    if head is None:
        return None
    (method, target, _), headers = head
    try:
        body = await read_body(reader, headers)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Message(method, target, headers, body)


def answer(status, headers=(), body=b""):
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def json_answer(status, body):
    return answer(status, [("Content-Type", "application/json")],
                  json.dumps(body).encode())


def reset(writer):
    """Ends a connection with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                            struct.pack("ii", 1, 0))
        except OSError:
            pass
    writer.transport.abort()
