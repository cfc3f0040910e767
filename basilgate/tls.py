"""TLS with certificates on both sides, between balancers and for admin access."""

import ssl


def server_context(certificate: str, key: str, ca: str) -> ssl.SSLContext:
    """Return the context of a server that accepts only peers of the CA.

    Raises
    ------
    OSError
        If a file cannot be read, or is not a certificate or key
        (`ssl.SSLError` is an `OSError`).
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    return require_peer(context, certificate, key, ca)


def client_context(certificate: str, key: str, ca: str) -> ssl.SSLContext:
    """Return the context of a client that accepts only servers of the CA.

    Host names are not compared: balancers are known by address only, and the CA
    signs no other certificates.

    Raises
    ------
    OSError
        If a file cannot be read, or is not a certificate or key.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.check_hostname = False
    return require_peer(context, certificate, key, ca)


def require_peer(
    context: ssl.SSLContext, certificate: str, key: str, ca: str
) -> ssl.SSLContext:
    """Load the files and demand a certificate of the CA from the other side."""
    # Both ends are this project, so older versions are of no use.
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    context.load_cert_chain(certificate, key)
    context.load_verify_locations(ca)
    context.verify_mode = ssl.CERT_REQUIRED
    return context
