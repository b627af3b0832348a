"""A worker that registered itself with the platform."""

from __future__ import annotations

import attrs

from rattanpier._internal.models.revision import Revision
from rattanpier._internal.utils.record import Record


@attrs.frozen(eq=False, repr=False)
class RegisteredWorker(Record):
    """One incarnation of a worker.

    Attributes:
      id: Id of the worker, which it may keep when it restarts.
      service: Pool that it belongs to.
      host: IP address.
      port: TCP port.
      domain: Failure domain.
      version: Version of its software.
      slots: Number of requests that it runs concurrently.
      draining: Whether it announced that it leaves.
      born: Start time in Unix ms, or None if the worker does not report it. A
        different value under the same id is another incarnation, which has none
        of the state of the previous one.
      warm_in_s: Seconds for which it still warms up, as of its registration.
      revision: Store revision of its registration. Within an era the larger of
        two is newer, independently of the workers' clocks.
      sequence: Number that the worker increases with each renewal. It shows
        which registration is newer if the store was restored from a backup.
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
        """Id of the incarnation: the worker's id and its start time.

        >>> RegisteredWorker("w", "s", "h", 1, "d", born=7).incarnation
        'w/7'
        """
        return self.id if self.born is None else f"{self.id}/{self.born}"
