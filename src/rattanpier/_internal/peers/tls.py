"""TLS contexts from settings: mutual TLS for peers, server TLS for callers."""

from __future__ import annotations

import pathlib
import ssl

from rattanpier._internal.exceptions import SettingsError
from rattanpier._internal.models.settings import ListenSettings

HTTP2 = "h2"


def caller_server_context(
    listen: ListenSettings, section: str = "callers"
) -> ssl.SSLContext | None:
    """Returns the context of a listener for callers, or None for plain text.

    Raises:
      SettingsError: A file is missing or does not fit.
    """
    if not is_set(listen, section):
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    load_pair(context, listen, section)
    if listen.authority:
        load_authority(context, listen, section)
        context.verify_mode = ssl.CERT_REQUIRED
    return context


def peer_server_context(listen: ListenSettings) -> ssl.SSLContext | None:
    """Returns the context for peers' connections, or None for plain text.

    Raises:
      SettingsError: A file is missing or does not fit.
    """
    return peer_context(listen, ssl.PROTOCOL_TLS_SERVER)


def peer_client_context(listen: ListenSettings) -> ssl.SSLContext | None:
    """Returns the context for connections to peers, or None for plain text.

    Raises:
      SettingsError: A file is missing or does not fit.
    """
    return peer_context(listen, ssl.PROTOCOL_TLS_CLIENT)


def peer_context(
    listen: ListenSettings, protocol: int
) -> ssl.SSLContext | None:
    """Returns a context that requires a certificate of the other side."""
    if not is_set(listen, "peers"):
        return None
    if not listen.authority:
        raise SettingsError(
            "[peers] has a certificate and no authority",
            "give the authority that all peers' certificates have",
        )
    context = ssl.SSLContext(protocol)
    # The authority is used for this system only, so each certificate it issued
    # belongs to a peer. IP addresses of VMs are assigned at start, so the
    # certificates don't contain them.
    context.check_hostname = False
    context.verify_mode = ssl.CERT_REQUIRED
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    load_pair(context, listen, "peers")
    load_authority(context, listen, "peers")
    context.set_alpn_protocols([HTTP2])
    return context


def is_set(listen: ListenSettings, section: str) -> bool:
    """Returns whether TLS is set.

    Raises:
      SettingsError: Only some of the TLS settings are set.
    """
    if bool(listen.certificate) != bool(listen.key):
        raise SettingsError(
            f"[{section}] has only one of certificate and key",
            "give both, or neither for plain text",
        )
    if listen.authority and not listen.certificate:
        raise SettingsError(
            f"[{section}] has an authority and no certificate",
            "give certificate and key as well",
        )
    return bool(listen.certificate)


def load_pair(
    context: ssl.SSLContext, listen: ListenSettings, section: str
) -> None:
    """Loads the certificate and its private key."""
    check_file(listen.certificate, section, "certificate")
    check_file(listen.key, section, "key")
    try:
        context.load_cert_chain(listen.certificate, listen.key)
    except (ssl.SSLError, OSError) as error:
        raise SettingsError(
            f"[{section}] certificate {listen.certificate!r} and key "
            f"{listen.key!r} can't be used together: {error}",
            "give a PEM certificate and the private key it was made for",
        ) from error


def load_authority(
    context: ssl.SSLContext, listen: ListenSettings, section: str
) -> None:
    """Loads the authority that must have issued the peer's certificate."""
    check_file(listen.authority, section, "authority")
    try:
        context.load_verify_locations(listen.authority)
    except (ssl.SSLError, OSError) as error:
        raise SettingsError(
            f"[{section}] authority {listen.authority!r} can't be used: "
            f"{error}",
            "give a PEM certificate of an authority",
        ) from error


def check_file(path: str, section: str, name: str) -> None:
    """Raises SettingsError unless a file can be read."""
    try:
        pathlib.Path(path).read_bytes()
    except OSError as error:
        raise SettingsError(
            f"[{section}] {name} {path!r} can't be read: {error.strerror}",
            "give the path of a readable PEM file",
        ) from error
