"""HTTP answers of the packet program: readiness and metrics."""

import collections
import collections.abc
import socket

import httptools

RECEIVE_BYTES = 4_096
TARGET_LIMIT_BYTES = 1_024  # Far above the paths that are served.
IDLE_LIMIT_S = 30.0  # Longer than the pause between two scrapes.
PHRASES = {200: "OK", 404: "Not Found", 503: "Service Unavailable"}

Answer = tuple[int, str, bytes]
Page = collections.abc.Callable[[], Answer]


class PageServer:
    """Serves one page; all other paths answer 404.

    Parameters
    ----------
    path : str
        Path of the page.
    page : callable
        Returns status, content type, and body.
    """

    def __init__(self, path: str, page: Page) -> None:
        self.path = path
        self.page = page

    def serve(self, accepted: socket.socket) -> None:
        """Answer the requests of one connection until it ends."""
        accepted.settimeout(IDLE_LIMIT_S)
        requests = RequestParser()
        try:
            while requests.open:
                data = accepted.recv(RECEIVE_BYTES)
                if not data:
                    return
                requests.parser.feed_data(data)
                while requests.paths:
                    accepted.sendall(self.answer(requests.paths.popleft()))
        except (OSError, httptools.HttpParserError):
            # The client has gone or does not speak HTTP; it asks again.
            return

    def answer(self, path: str) -> bytes:
        """Return the answer to a request for a path."""
        known = path == self.path
        status, kind, body = self.page() if known else (404, "text/plain", b"")
        head = (
            f"HTTP/1.1 {status} {PHRASES[status]}\r\n"
            f"Content-Type: {kind}\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        return head.encode() + body


class RequestParser:
    """Reads the paths of requests from the bytes of a connection.

    `paths` are those that wait for an answer; `open` tells whether the client may send
    another request.
    """

    def __init__(self) -> None:
        self.parser = httptools.HttpRequestParser(self)
        self.target = b""
        self.paths: collections.deque[str] = collections.deque()
        self.open = True

    def on_message_begin(self) -> None:
        """Start a request."""
        self.target = b""

    def on_url(self, part: bytes) -> None:
        """Take a part of the request's target."""
        self.target = (self.target + part)[:TARGET_LIMIT_BYTES]

    def on_message_complete(self) -> None:
        """Note a request."""
        self.paths.append(self.target.decode("ascii", "replace").partition("?")[0])
        self.open = self.parser.should_keep_alive()
