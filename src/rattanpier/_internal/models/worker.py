"""A worker that registered itself."""

from __future__ import annotations

import attrs

from rattanpier._internal.models.revision import Revision


@attrs.frozen
class RegisteredWorker:
    """One incarnation of a worker.

    Attributes:
      id: Of the worker; it may start again under the same one.
      service: The pool it belongs to.
      host: IP number.
      port: TCP port.
      domain: Failure domain.
      version: Version of its software.
      slots: Requests that it runs at once.
      draining: It announced that it leaves.
      born: When it started, in Unix ms, or None where it does not tell.
        Another value under the same id is another incarnation, which holds
        nothing of what the one before held.
      warm_in_s: Seconds for which it still warms up, as of its registration.
      revision: Of its registration in the store; within an era the larger of
        two is the newer, whatever the workers' clocks say.
      sequence: Raised by the worker with each renewal; what it last said counts
        where an older copy of the store says something else.
    """

    id: str
    service: str
    host: str
    port: int
    domain: str
    version: str = ""
    slots: int = 1
    draining: bool = False
    born: int | None = None
    warm_in_s: float = 0.0
    revision: Revision = Revision()
    sequence: int = 0

    @property
    def incarnation(self) -> str:
        """What tells its start from others under the same id.

        >>> RegisteredWorker("w", "s", "h", 1, "d", born=7).incarnation
        'w/7'
        """
        return self.id if self.born is None else f"{self.id}/{self.born}"
