"""Throw-away certificates for tests of TLS. Needs the package `cryptography`."""

import datetime
import ipaddress
import pathlib

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509 import oid

from basilgate import settings


def certificate(
    subject: str,
    key: ec.EllipticCurvePrivateKey,
    issuer: str,
    issuer_key: ec.EllipticCurvePrivateKey,
    is_ca: bool,
) -> x509.Certificate:
    """Return a throw-away certificate."""
    now = datetime.datetime.now(datetime.UTC)
    name = x509.Name([x509.NameAttribute(oid.NameOID.COMMON_NAME, subject)])
    by = x509.Name([x509.NameAttribute(oid.NameOID.COMMON_NAME, issuer)])
    address = x509.IPAddress(ipaddress.ip_address("127.0.0.1"))
    builder = (
        x509.CertificateBuilder()
        .subject_name(name)
        .issuer_name(by)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - datetime.timedelta(hours=1))
        .not_valid_after(now + datetime.timedelta(hours=1))
        .add_extension(x509.BasicConstraints(ca=is_ca, path_length=None), True)
        .add_extension(x509.SubjectAlternativeName([address]), False)
    )
    return builder.sign(issuer_key, hashes.SHA256())


def make(folder: pathlib.Path, ca: str) -> settings.TlsSection:
    """Write a CA, and a certificate of it with its key; return the paths."""
    ca_key, key = (ec.generate_private_key(ec.SECP256R1()) for _ in range(2))
    pem = serialization.Encoding.PEM
    paths = [folder / f"{ca}-{name}.pem" for name in ("certificate", "key", "ca")]
    own = certificate("host", key, ca, ca_key, is_ca=False)
    paths[0].write_bytes(own.public_bytes(pem))
    paths[1].write_bytes(
        key.private_bytes(
            pem, serialization.PrivateFormat.PKCS8, serialization.NoEncryption()
        )
    )
    issuer = certificate(ca, ca_key, ca, ca_key, is_ca=True)
    paths[2].write_bytes(issuer.public_bytes(pem))
    return settings.TlsSection(certificate=paths[0], key=paths[1], ca=paths[2])
