"""Client of the operator API of a control process."""

import attrs

from tests.lib.builders import OPERATOR_KEY
from tests.lib.cluster import wait_for


@attrs.define
class Operator:
    """Calls the operator API of one control process.

    Attributes:
      cluster: Cluster whose HTTP session is used.
      url: Base URL of the control process's operator API.
      key: The operator's key.
    """

    cluster: object
    url: str
    key: str = OPERATOR_KEY

    async def call(self, method, path, data=None, headers=None, **query):
        url = f"{self.url}/operator/{path}"
        headers = {"Authorization": f"Bearer {self.key}", **(headers or {})}
        async with self.cluster.session.request(
            method, url, params=query, data=data, headers=headers
        ) as response:
            return response.status, await response.json(content_type=None)

    async def get(self, path, **query):
        return (await self.call("GET", path, **query))[1]

    async def post(self, path, data=None, **query):
        return await self.call("POST", path, data, **query)


async def find_operator(cluster, name="control-1"):
    """Waits until a control process serves the operator API."""

    async def found():
        row = await cluster.table.get(f"member/{name}")
        if row is None or '"operator_url":"http' not in row.value:
            return None
        return row.value.split('"operator_url":"')[1].split('"')[0]

    return Operator(cluster, await wait_for(found))
