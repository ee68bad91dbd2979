"""The two examples of the repository, and what a demonstration calls in them."""

import pathlib
from dataclasses import dataclass

import json5

DIRECTORY = pathlib.Path(__file__).parents[2] / "examples"
TOKEN_PREFIX = "demo-"


@dataclass(frozen=True, kw_only=True)
class Example:
    """One example.

    Args:
        sheet_file: Its sheet, in ``examples/``.
        customer: The customer that calls.
        model: The model service.
        question_call: A call of it that is not streamed.
        streamed_call: A call of it that is streamed.
        prompt: What is asked.
        plain: The plain service.
        once_call: A call of it that runs at most once.
        once_body: The body of that call.
        words: What people call its question, stream and once-only call.
    """

    name: str
    sheet_file: str
    customer: str
    model: str
    question_call: str
    streamed_call: str
    prompt: str
    plain: str
    once_call: str
    once_body: dict
    words: dict[str, str]

    @property
    def token(self):
        """The customer's bearer token; the sheet holds its hash."""
        return TOKEN_PREFIX + self.customer

    def sheet(self):
        """Return the example's sheet, in plain types."""
        return json5.loads((DIRECTORY / self.sheet_file).read_text())


GUILD = Example(
    name="guild",
    sheet_file="guild.sheet.json5",
    customer="nadi-airport-counter",
    model="fitting",
    question_call="advise",
    streamed_call="ask",
    prompt="Which jacket fits a child of 128 cm for a week in Hokkaido?",
    plain="booking",
    once_call="hold",
    once_body={"item": "jacket-128", "days": 7},
    words={
        "question": "fitting question",
        "stream": "fitting advice",
        "once": "booking hold",
    },
)
ARCHIVE = Example(
    name="archive",
    sheet_file="archive.sheet.json5",
    customer="frederick-street-chambers",
    model="drafting",
    question_call="tags",
    streamed_call="summarise",
    prompt="Summarise the thread on the lease of the San Fernando office.",
    plain="archive",
    once_call="hold",
    once_body={"matter": "CV2026-0417", "scope": "all correspondence"},
    words={
        "question": "tagging question",
        "stream": "summary",
        "once": "litigation hold",
    },
)
EXAMPLES = (GUILD, ARCHIVE)
