"""HTTP server of the forwarder's readiness and metrics pages."""

import collections
import collections.abc
import socket

import httptools

RECEIVE_BUFFER_BYTES = 4_096
MAX_URL_BYTES = 1_024  # Far longer than the served paths; the rest is cut off.
IDLE_TIMEOUT_S = 30.0  # Longer than the interval between two scrapes.
REASON_PHRASES = {200: "OK", 404: "Not Found", 503: "Service Unavailable"}

Response = tuple[int, str, bytes]  # Status, content type, and body.
RenderPage = collections.abc.Callable[[], Response]


class PageServer:
    """Serves one page over HTTP; every other path gets status 404.

    The requests of one connection are answered in their order.

    Parameters
    ----------
    path : str
        Path of the page, without a query.
    render_page : callable
        Returns status, content type, and body of the page; called for each request.
    """

    def __init__(self, path: str, render_page: RenderPage) -> None:
        self.path = path
        self.render_page = render_page

    def serve(self, connection: socket.socket) -> None:
        """Answer the requests of one connection until it ends or is idle."""
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
            # The client has closed the connection, is idle, or does not speak HTTP; one
            # that needs the page connects again.
            return

    def response(self, path: str) -> bytes:
        """Return the bytes of the HTTP response to a request for a path."""
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
    """Extracts the paths of HTTP requests from the bytes of one connection.

    The caller feeds `parser` with received bytes; the parser calls the `on_` methods.
    `pending_paths` are the paths of complete requests without a response yet.
    `keep_alive` is whether the client may send another request on the connection.
    """

    def __init__(self) -> None:
        self.parser = httptools.HttpRequestParser(self)
        self.url = b""
        self.pending_paths: collections.deque[str] = collections.deque()
        self.keep_alive = True

    def on_message_begin(self) -> None:
        """Discard the URL of the previous request when a new one begins."""
        self.url = b""

    def on_url(self, fragment: bytes) -> None:
        """Append a part of the request's URL, up to `MAX_URL_BYTES`."""
        self.url = (self.url + fragment)[:MAX_URL_BYTES]

    def on_message_complete(self) -> None:
        """Queue the path of a complete request for its response."""
        self.pending_paths.append(self.url.decode("ascii", "replace").partition("?")[0])
        self.keep_alive = self.parser.should_keep_alive()
