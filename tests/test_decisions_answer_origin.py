"""Tests of the decisions about what arrived on a connection to a target."""

import unittest

from waxwinghold._decisions.answer_origin import (
    AnswerOrigin,
    answer_origin,
    has_joined_end,
    has_joined_event,
    has_joined_head,
    has_own_head,
    may_have_joined_body,
)

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


class OriginTests(unittest.TestCase):
    """An answer that named no request was taken for the answer to the last one."""

    def assert_origin(self, expected, **arguments):
        self.assertIs(answer_origin(**arguments), expected)

    def test_an_answer_without_an_id_belongs_to_the_only_request(self):
        for request_id in ("r-1", ""):
            for count, expected in (
                (1, AnswerOrigin.OWN),
                (2, AnswerOrigin.UNKNOWN),
                (9, AnswerOrigin.UNKNOWN),
            ):
                self.assert_origin(
                    expected, answer_id="", request_id=request_id, requests_count=count
                )

    def test_an_answer_with_an_id_belongs_to_that_request(self):
        for count in (1, 2):
            self.assert_origin(
                AnswerOrigin.OWN,
                answer_id="r-1",
                request_id="r-1",
                requests_count=count,
            )
            for request_id in ("r-2", ""):
                self.assert_origin(
                    AnswerOrigin.EARLIER,
                    answer_id="r-1",
                    request_id=request_id,
                    requests_count=count,
                )


QUOTED_HEADS = (
    b"HTTP/1.1 200 OK\r\nAttempt-Id: r-1\r\n",
    b"HTTP/1.1 200 OK\r\nServer-Seal: s:1\r\n\r\n",  # It names no request.
    b"HTTP/1.0 500\nATTEMPT-ID : r-1 \n",
    b"HTTP/1.1 206 Partial",
)
LONG_BODIES = (
    b"HTTP/1.1 200 " * 50_000,
    b"HTTP/1.1 200 OK\r\n" + b"a:" * 500_000,
    b"HTTP/" * 200_000,
)


class JoinedBodiesTests(unittest.TestCase):
    """The rest of a body that was broken off was taken from an answer of any age."""

    def test_any_head_in_a_body_is_a_doubt(self):
        for head in QUOTED_HEADS:
            for before in (b"", b"x", b"data: a"):
                for behind in (b"", b"\r\nthe rest"):
                    body = before + head + behind
                    self.assertTrue(may_have_joined_body(body), body)

    def test_a_head_that_begins_at_the_end_of_a_body_is_a_doubt(self):
        line = b"HTTP/1.1 200 OK"
        for size in range(len(b"HTTP/"), len(line)):
            self.assertTrue(may_have_joined_body(b"x" + line[:size]), line[:size])

    def test_bodies_without_a_head_are_no_doubt(self):
        for body in (
            b"",
            b"GET / HTTP/1.1\r\nAttempt-Id: r-1\r\n",
            b"HTTP/1.1 and HTTP/2 differ",
            b"it ends with HTTP",
            b"200 OK\r\nAttempt-Id: r-1\r\n",
        ):
            self.assertFalse(may_have_joined_body(body), body)

    def test_long_bodies_take_little_time(self):
        for body in LONG_BODIES:
            may_have_joined_body(body)
            self.assertFalse(has_joined_event(body))


class OwnHeadsTests(unittest.TestCase):
    """The rest of a body was taken from a second answer to the same request."""

    def has_own_head(self, body, request_id="r-1"):
        return has_own_head(body, id_field=b"attempt-id", request_id=request_id)

    def test_the_head_of_a_second_answer_shows(self):
        for name in (b"Attempt-Id", b"attempt-id", b"ATTEMPT-ID "):
            for value in (b"r-1", b" r-1 "):
                for between in (
                    b"",
                    b"Server-Seal: s:1\r\nDate: x\r\n",
                    b"Server-Seal: " + b"s" * 600 + b"\r\n",
                    b"A: b\r\n" * 70,
                ):
                    head = b"HTTP/1.1 200 OK\r\n%b%b:%b\r\n" % (between, name, value)
                    self.assertTrue(self.has_own_head(head), head)
                    self.assertTrue(self.has_own_head(b"data: a" + head + b"rest"))

    def test_bodies_that_quote_other_answers_are_sound(self):
        for body in (
            b"",
            b"HTTP/1.1 200 OK\r\nAttempt-Id: r-0\r\n",
            b"HTTP/1.1 200 OK\r\n\r\nAttempt-Id: r-1\r\n",
            b"GET / HTTP/1.1\r\nAttempt-Id: r-1\r\n",
            b"HTTP/1.1 200 OK\\r\\nAttempt-Id: r-1\\r\\n",
            *LONG_BODIES,
        ):
            self.assertFalse(self.has_own_head(body), body[:60])
        self.assertFalse(self.has_own_head(QUOTED_HEADS[0], request_id=""))


class JoinedEventsTests(unittest.TestCase):
    """The rest of an event was taken from an answer of any age."""

    def test_a_head_in_an_event_shows(self):
        for head in QUOTED_HEADS[:-1]:
            for before in (b"", b"id: 3\ndata: pie", b"id: 3\ndat"):
                event = before + head + b"\r\n"
                self.assertTrue(has_joined_event(event), event)

    def test_a_text_that_quotes_a_head_is_sound(self):
        for event in (
            b"id: 3\ndata: HTTP/1.1 200 OK\n\n",
            b"id: 3\r\ndata: HTTP/1.1 200 OK\r\n\r\n",
            b"data: HTTP/1.1 200 OK\ndata: Attempt-Id: r-1\ndata: \ndata:body\n\n",
            b"data: HTTP/1.1 200 OK\r\ndata: Attempt-Id: r-1\r\n: comment\r\n\r\n",
            b"data: HTTP/1.1 200 OK\nid: 4\nevent: e\nretry: 5\n\n",
            b"weight-versions: 2\ndata: a HTTP/1.1 200 OK\n\n",
        ):
            self.assertFalse(has_joined_event(event), event)


class JoinedEndsTests(unittest.TestCase):
    """The rest of a body was too short for the whole head of the next answer."""

    head = b"HTTP/1.1 200 OK\r\nServer-Seal: s\r\nAttempt-Id: r-1\r\n"

    def test_a_head_that_begins_in_the_body_and_ends_behind_it_shows(self):
        for size in range(1, len(self.head)):
            for body in (b"", b"x", b"x\r\n" * 5000):
                joined = body + self.head[:size]
                following = self.head[size:] + b"\r\nbody"
                self.assertTrue(has_joined_end(joined, following), joined[-60:])

    def test_bytes_behind_a_whole_body_leave_it_whole(self):
        for body in (b"x", b"H", b"HTTP/1.1 200", self.head, b"HTTP/1.1 200 " * 999):
            for following in (b"", self.head, b"\0\0"):
                self.assertFalse(has_joined_end(body, following), body[-60:])
