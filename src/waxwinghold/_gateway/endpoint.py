"""The UDP port through which a process sends and takes in notices."""

import asyncio

import logbook
import msgspec

from .notices import FORMAT, decoder

log = logbook.Logger("notices")


class NoticeEndpoint(asyncio.DatagramProtocol):
    """Base of whatever takes in notices; bad datagrams end here.

    Args:
        ip: Address of this process towards the others.
        port: The port that all processes use.
    """

    def __init__(self, *, ip, port):
        self._address = (ip, port)
        self._transport = None

    async def open_endpoint(self):
        """Begin to take in notices."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=self._address)

    def close_endpoint(self):
        """Send and take in nothing more."""
        if self._transport is not None:
            self._transport.close()

    def send_data(self, ip, data):
        """Send an encoded notice to the process at ``ip``; it may be lost."""
        if self._transport is not None:
            self._transport.sendto(data, (ip, self._address[1]))

    def handle_notice(self, ip, notice):
        """Take in a notice of this format from the process at ``ip``."""

    def count_malformed(self):
        """Count a datagram that is no notice."""

    def connection_made(self, transport):
        self._transport = transport

    def error_received(self, exc):
        log.debug("a notice came back", extra={"reason": repr(exc)})

    def datagram_received(self, data, address):
        try:
            notice = decoder.decode(data)
        except (msgspec.DecodeError, msgspec.ValidationError) as error:
            self.count_malformed()
            log.warning("malformed notice", extra={"reason": str(error)})
            return
        if notice.format == FORMAT:
            self.handle_notice(address[0], notice)
