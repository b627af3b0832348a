"""Ports that no other test process is about to use."""

import collections
import itertools
import os
import socket

# Below the ports that the kernel gives to connections: one found free must
# still be so when an entry starts.
LOWEST_PORT, HIGHEST_PORT = 10000, 30000
# The same port at this address stands for the one at 127.0.0.1: a process that
# is bound there has it. Looking alone leaves a gap until an entry is bound.
TOKEN_HOST = "127.0.0.2"
MOST_TOKENS = 200  # More than one test uses.
TOKENS = collections.deque()
PORTS = itertools.count(os.getpid() * 97)


def free_port():
    """Returns a port that is this process's for the next ports asked for."""
    while True:
        port = LOWEST_PORT + next(PORTS) % (HIGHEST_PORT - LOWEST_PORT)
        token = bound(TOKEN_HOST, port)
        if token is None:
            continue
        looked = bound("127.0.0.1", port)
        if looked is None:
            token.close()
            continue
        looked.close()
        TOKENS.append(token)
        if len(TOKENS) > MOST_TOKENS:
            TOKENS.popleft().close()
        return port


def bound(host, port):
    """A socket bound to an address, None if it is taken."""
    made = socket.socket()
    try:
        made.bind((host, port))
    except OSError:
        made.close()
        return None
    return made
