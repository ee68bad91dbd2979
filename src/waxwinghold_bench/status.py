"""Reads the status of running processes as an operator."""

import msgspec

from waxwinghold._keys import random_id
from waxwinghold._messages import StatusQuery
from waxwinghold._tool.process_client import ProcessClient
from waxwinghold._tool.settings import KnownProcess, OperatorSettings


class StatusReader:
    """Queries the status of processes over links.

    Args:
        operator: The ``Endpoint`` of the operator; the processes must list its key.
    """

    def __init__(self, *, operator):
        settings = OperatorSettings(
            name=operator.name,
            link_secret_key=operator.secret_key,
            link_public_key=operator.public_key,
            processes=(),
        )
        self._client = ProcessClient(settings=settings)

    async def read(self, endpoint):
        """Return the status of the process at ``endpoint`` as plain types.

        Raises:
            UnreachableError: The process does not answer in time.
        """
        process = KnownProcess(
            name=endpoint.name,
            address=endpoint.link_address,
            public_key=endpoint.public_key,
        )
        query = StatusQuery(query_id=random_id())
        reply = await self._client.query(process, query)
        return msgspec.json.decode(reply.document)
