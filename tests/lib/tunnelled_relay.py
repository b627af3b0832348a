"""Starts an entry whose connections all go through a tunnel of the test.

The tunnel decides whether a connection is made, as the network would. It is
told who asks for which address, and answers with one byte.
"""

import asyncio
import os
import pathlib
import runpy
import socket
import sys

RELAY = pathlib.Path(__file__).parents[2] / "deploy" / "relay.py"
ACCEPTED = b"+"


def install(name, port):
    """Sends the connections that this process opens through a tunnel."""
    create = asyncio.BaseEventLoop.create_connection

    async def create_connection(
        loop, factory, host=None, target=None, *, sock=None, **options
    ):
        if sock is not None:
            return await create(loop, factory, sock=sock, **options)
        sock = socket.socket()
        sock.setblocking(False)
        try:
            await loop.sock_connect(sock, ("127.0.0.1", port))
            line = f"{name} {host} {target}\n".encode()
            await loop.sock_sendall(sock, line)
            if await loop.sock_recv(sock, 1) != ACCEPTED:
                raise ConnectionRefusedError(f"{host}:{target}")
        except BaseException:
            sock.close()
            raise
        return await create(loop, factory, sock=sock, **options)

    asyncio.BaseEventLoop.create_connection = create_connection


if __name__ == "__main__":
    install(os.environ["TUNNEL_NAME"], int(os.environ["TUNNEL_PORT"]))
    sys.argv[0] = str(RELAY)
    runpy.run_path(str(RELAY), run_name="__main__")
