"""Tests of the decisions about what arrived on a connection to a target."""

import unittest

from waxwinghold._decisions.answer_origin import has_joined_head

SOUND = (
    b"",
    b"OK",
    b"1.1 gateway-1, HTTP/1.1 gateway-2",  # A Via field may name the protocol.
    b"http://shop.example/HTTP/1.1",
    b"200",
    b"HTTP/1.1 2",
)


class JoinedHeadsTests(unittest.TestCase):
    """A head that was broken off was joined with the head of the next answer."""

    def test_every_break_of_a_field_shows_the_next_status_line(self):
        for text in (*SOUND, b"text/event-stream", b"seal.w0"):
            for end in range(len(text) + 1):
                for line in (
                    b"HTTP/1.1 200 OK",
                    b"HTTP/1.0 500",
                    b"HTTP/1.1 103 Early",
                ):
                    joined = text[:end] + line
                    self.assertTrue(has_joined_head([b"OK", joined]), joined)

    def test_the_fields_of_sound_targets_are_not_taken_for_joined_ones(self):
        self.assertFalse(has_joined_head(SOUND))
