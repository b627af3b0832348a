"""Certificates for tests, made by an authority of the test's own."""

import datetime
import ipaddress

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

START = datetime.datetime(2020, 1, 1, tzinfo=datetime.UTC)
END = datetime.datetime(2120, 1, 1, tzinfo=datetime.UTC)


class Authority:
    """Signs certificates; its own is written to `path`."""

    def __init__(self, folder, name="authority"):
        self.folder = folder
        self.name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
        self.key = ec.generate_private_key(ec.SECP256R1())
        builder = self.builder(self.name, self.key).add_extension(
            x509.BasicConstraints(ca=True, path_length=None), critical=True
        )
        self.path = folder / f"{name}.pem"
        self.path.write_bytes(pem(self.sign(builder)))

    def builder(self, subject, key):
        return (
            x509.CertificateBuilder()
            .subject_name(subject)
            .issuer_name(self.name)
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(START)
            .not_valid_after(END)
        )

    def sign(self, builder):
        return builder.sign(self.key, hashes.SHA256())

    def issue(self, name):
        """Writes a certificate and its key; returns their paths."""
        key = ec.generate_private_key(ec.SECP256R1())
        subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
        address = x509.IPAddress(ipaddress.ip_address("127.0.0.1"))
        builder = self.builder(subject, key).add_extension(
            x509.SubjectAlternativeName([address]), critical=False
        )
        certificate = self.folder / f"{name}.pem"
        certificate.write_bytes(pem(self.sign(builder)))
        key_path = self.folder / f"{name}.key"
        key_path.write_bytes(
            key.private_bytes(
                serialization.Encoding.PEM,
                serialization.PrivateFormat.PKCS8,
                serialization.NoEncryption(),
            )
        )
        return str(certificate), str(key_path)


def pem(certificate):
    return certificate.public_bytes(serialization.Encoding.PEM)
