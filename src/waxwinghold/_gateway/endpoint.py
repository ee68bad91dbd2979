"""The UDP endpoint that sends and receives notices."""

import asyncio
import typing
from collections import Counter

import logbook
import msgspec

from .notices import FORMAT, Notice, decoder

log = logbook.Logger("notices")

# Names of the metrics of received notices, by class: ``received_rank_notices``.
RECEIVED_METRICS = {
    kind: f"received_{kind.__struct_config__.tag.replace('-', '_')}_notices"
    for kind in typing.get_args(Notice)
}


class NoticeEndpoint(asyncio.DatagramProtocol):
    """Base class of the receivers of notices; drops datagrams that are no notices.

    Args:
        ip: Address at which other processes reach this one.
        port: UDP port that all processes use.

    Attributes:
        received_counts: Number of received notices by class.
        sent_count: Number of sent datagrams.
    """

    def __init__(self, *, ip, port):
        self._address = (ip, port)
        self._transport = None
        self.received_counts = Counter()
        self.sent_count = 0

    async def open_endpoint(self):
        """Start receiving notices."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=self._address)

    def close_endpoint(self):
        """Stop sending and receiving notices."""
        if self._transport is not None:
            self._transport.close()

    def send_data(self, ip, data):
        """Send an encoded notice to ``ip``, without a guarantee of delivery."""
        if self._transport is not None:
            self.sent_count += 1
            self._transport.sendto(data, (ip, self._address[1]))

    def handle_notice(self, ip, notice):
        """Handle a notice of the current format from the process at ``ip``."""

    def count_malformed(self):
        """Count a datagram that cannot be decoded as a notice."""

    def connection_made(self, transport):
        self._transport = transport

    def error_received(self, exc):
        log.debug("notice could not be delivered", extra={"reason": repr(exc)})

    def datagram_received(self, data, address):
        try:
            notice = decoder.decode(data)
        except (msgspec.DecodeError, RecursionError) as error:
            self.count_malformed()
            log.warning("malformed notice", extra={"reason": str(error)})
            return
        self.received_counts[type(notice)] += 1
        if notice.format == FORMAT:
            self.handle_notice(address[0], notice)

    def notice_gauges(self):
        """Return the numbers of sent and received notices, by name of the metric."""
        received = {
            name: self.received_counts[kind] for kind, name in RECEIVED_METRICS.items()
        }
        return received | {"sent_notices": self.sent_count}
