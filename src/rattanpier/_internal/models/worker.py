"""A worker that registered itself."""

from __future__ import annotations

import attrs


@attrs.frozen
class RegisteredWorker:
    """One incarnation of a worker.

    Attributes:
      id: Unique to this start of the worker.
      service: The pool it belongs to.
      host: IP number.
      port: TCP port.
      domain: Failure domain.
      version: Version of its software.
      slots: Requests that it runs at once.
      draining: It announced that it leaves.
    """

    id: str
    service: str
    host: str
    port: int
    domain: str
    version: str = ""
    slots: int = 1
    draining: bool = False
