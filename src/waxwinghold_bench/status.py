"""Reads the status of running processes, as an operator would."""

import msgspec

from waxwinghold._keys import random_id
from waxwinghold._messages import StatusQuery
from waxwinghold._tool.process_client import ProcessClient
from waxwinghold._tool.settings import KnownProcess, OperatorSettings


class StatusReader:
    """Asks processes for their status over links.

    Args:
        operator: The ``Endpoint`` whose key the processes know as an operator's.
    """

    def __init__(self, *, operator):
        settings = OperatorSettings(
            name=operator.name,
            link_secret_key=operator.secret_key,
            link_public_key=operator.public_key,
            processes=(),
        )
        self._asker = ProcessClient(settings=settings)

    async def read(self, endpoint):
        """Return the status of the process at ``endpoint``, in plain types.

        Raises:
            UnreachableError: The process does not answer in time.
        """
        process = KnownProcess(
            name=endpoint.name,
            address=endpoint.link_address,
            public_key=endpoint.public_key,
        )
        query = StatusQuery(query_id=random_id())
        reply = await self._asker.query(process, query)
        return msgspec.json.decode(reply.document)
