"""HTTP answers of the packet program: readiness and metrics."""

import collections
import collections.abc
import socket

import httptools

RECEIVE_BUFFER_BYTES = 4_096
MAX_URL_BYTES = 1_024  # Far above the paths that are served.
IDLE_TIMEOUT_S = 30.0  # Longer than the pause between two scrapes.
REASON_PHRASES = {200: "OK", 404: "Not Found", 503: "Service Unavailable"}

Response = tuple[int, str, bytes]
RenderPage = collections.abc.Callable[[], Response]


class PageServer:
    """Serves one page; all other paths answer 404.

    Parameters
    ----------
    path : str
        Path of the page.
    page : callable
        Returns status, content type, and body.
    """

    def __init__(self, path: str, render_page: RenderPage) -> None:
        self.path = path
        self.render_page = render_page

    def serve(self, connection: socket.socket) -> None:
        """Answer the requests of one connection until it ends."""
        connection.settimeout(IDLE_TIMEOUT_S)
        requests = RequestParser()
        try:
            while requests.keep_alive:
                data = connection.recv(RECEIVE_BUFFER_BYTES)
                if not data:
                    return
                requests.parser.feed_data(data)
                while requests.pending_paths:
                    connection.sendall(self.response(requests.pending_paths.popleft()))
        except (OSError, httptools.HttpParserError):
            # The client has gone or does not speak HTTP; it asks again.
            return

    def response(self, path: str) -> bytes:
        """Return the answer to a request for a path."""
        matches = path == self.path
        status, content_type, body = (
            self.render_page() if matches else (404, "text/plain", b"")
        )
        header = (
            f"HTTP/1.1 {status} {REASON_PHRASES[status]}\r\n"
            f"Content-Type: {content_type}\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        return header.encode() + body


class RequestParser:
    """Reads the paths of requests from the bytes of a connection.

    `paths` are those that wait for an answer; `open` tells whether the client may send
    another request.
    """

    def __init__(self) -> None:
        self.parser = httptools.HttpRequestParser(self)
        self.url = b""
        self.pending_paths: collections.deque[str] = collections.deque()
        self.keep_alive = True

    def on_message_begin(self) -> None:
        """Start a request."""
        self.url = b""

    def on_url(self, fragment: bytes) -> None:
        """Take a part of the request's target."""
        self.url = (self.url + fragment)[:MAX_URL_BYTES]

    def on_message_complete(self) -> None:
        """Note a request."""
        self.pending_paths.append(self.url.decode("ascii", "replace").partition("?")[0])
        self.keep_alive = self.parser.should_keep_alive()
