"""Mutual TLS for calls between balancers and for the admin interface."""

import pathlib
import ssl

import anyio
import anyio.abc
import anyio.streams.tls

from basilgate import metrics, reasons, settings

HANDSHAKE_TIMEOUT_S = 3.0

# Keys are OpenSSL's names of errors, as in `ssl.SSLError.reason`.
REASONS_BY_OPENSSL_NAME = {
    "PEER_DID_NOT_RETURN_A_CERTIFICATE": reasons.Reason.TLS_NO_CERTIFICATE,
    "CERTIFICATE_VERIFY_FAILED": reasons.Reason.TLS_BAD_CERTIFICATE,
}


def server_context(
    files: settings.TlsSection, listener_name: str = "calls"
) -> ssl.SSLContext:
    """Return the TLS context of a server that accepts only clients with a certificate.

    Parameters
    ----------
    files : settings.TlsSection
        Certificate and key of the server, and the CA that must have signed those of
        clients.
    listener_name : str
        Label of the listener in the metric of refused connections.

    Raises
    ------
    OSError
        If a file is not a certificate or key (`ssl.SSLError` is an `OSError`).
    """

    class CountedHandshake(ssl.SSLObject):
        """TLS connection that counts a failed handshake by its reason."""

        def do_handshake(self) -> None:
            """Continue the handshake and count its failure."""
            try:
                super().do_handshake()
            except (ssl.SSLWantReadError, ssl.SSLWantWriteError):
                raise
            except ssl.SSLError as error:
                reason = REASONS_BY_OPENSSL_NAME.get(
                    error.reason or "", reasons.Reason.TLS_FAILED
                )
                metrics.REFUSED_CONNECTIONS.inc(
                    {"listener": listener_name, "reason": reasons.label(reason)}
                )
                raise

    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.sslobject_class = CountedHandshake
    return require_peer(context, files)


def client_context(files: settings.TlsSection) -> ssl.SSLContext:
    """Return the TLS context of a client that accepts only servers of the CA.

    Host names are not checked: balancers are known by address only, and the CA signs
    no certificates for other purposes.

    Raises
    ------
    OSError
        If a file is not a certificate or key.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.check_hostname = False
    return require_peer(context, files)


def require_peer(context: ssl.SSLContext, files: settings.TlsSection) -> ssl.SSLContext:
    """Load the files and require a certificate of the CA from the other side."""
    # Both sides are programs of this project, so older versions are not needed.
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    context.load_cert_chain(files.certificate, files.key)
    context.load_verify_locations(files.ca)
    context.verify_mode = ssl.CERT_REQUIRED
    return context


def calling(files: settings.TlsSection | None) -> ssl.SSLContext | None:
    """Return the TLS context of outgoing calls, None if no files are configured."""
    return client_context(files) if files is not None else None


def listener_context(
    files: settings.TlsSection | None, listener_name: str
) -> ssl.SSLContext | None:
    """Return the TLS context of a listener, None if no files are configured.

    `listener_name` is its label in the metric of refused connections.
    """
    return server_context(files, listener_name) if files is not None else None


def files_problem(files: settings.TlsSection | None) -> str:
    """Return a one-line message about unusable TLS files, empty if all are usable."""
    if files is None:
        return ""
    try:
        ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT).load_verify_locations(files.ca)
    except OSError as error:
        return f"[tls] ca: {describe_error(error, files.ca)}"
    try:
        client_context(files)
    except OSError as error:
        return f"[tls] certificate, key: {describe_error(error, files.certificate)}"
    return ""


def describe_error(error: OSError, path: pathlib.Path) -> str:
    """Return a message about a PEM file that could not be loaded."""
    reason = error.reason if isinstance(error, ssl.SSLError) else error.strerror
    return f"cannot use {path}: {reason or 'not a PEM file'}"


class HandshakeListener(anyio.streams.tls.TLSListener):
    """TLS listener that closes a connection whose handshake failed.

    Unlike its base class it logs nothing, since the TLS context counts the failure.
    """

    @staticmethod
    async def handle_handshake_error(
        exc: BaseException, stream: anyio.abc.AnyByteStream
    ) -> None:
        """Close the connection; raise the error only if it is a cancellation."""
        await anyio.aclose_forcefully(stream)
        if not isinstance(exc, Exception):
            raise exc


def call_listener(
    plain: anyio.abc.Listener[anyio.abc.SocketStream],
    files: settings.TlsSection | None,
) -> anyio.abc.Listener[anyio.abc.ByteStream]:
    """Return the listener for balancers' calls, with TLS if files are configured."""
    context = listener_context(files, "calls")
    if context is None:
        return plain
    return HandshakeListener(
        plain,
        context,
        standard_compatible=False,
        handshake_timeout=HANDSHAKE_TIMEOUT_S,
    )
