"""Tests that streams are split into whole events, however the bytes arrive."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from waxwinghold._gateway import events
from waxwinghold._gateway.events import EventSplitter, EventTooLongError

STREAM = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\ndata: no id\n\nid: 3\r\ndata: c\r\n\r\n"


class EventSplitterTests(unittest.TestCase):
    @given(st.lists(st.integers(min_value=0, max_value=len(STREAM)), max_size=8))
    def test_any_cut_gives_the_same_events(self, cuts):
        splitter = EventSplitter()
        complete_events = []
        edges = [0, *sorted(cuts), len(STREAM)]
        for start, end in zip(edges, edges[1:]):
            complete_events += splitter.feed(STREAM[start:end])
        self.assertEqual(b"".join(event for event, _ in complete_events), STREAM)
        self.assertEqual([event_id for _, event_id in complete_events], [1, 2, None, 3])
        self.assertEqual(splitter.pending_bytes, 0)

    def test_an_incomplete_event_is_buffered(self):
        splitter = EventSplitter()
        self.assertEqual(splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")[0][1], 1)
        self.assertEqual(splitter.pending_bytes, len(b"id: 2\nda"))

    def test_an_event_over_the_limit_is_an_error(self):
        splitter = EventSplitter()
        with self.assertRaises(EventTooLongError):
            splitter.feed(b"x" * (events.EVENT_LIMIT_BYTES + 1))
