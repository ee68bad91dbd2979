"""The two examples of the repository and the calls that demonstrate them."""

import pathlib
from dataclasses import dataclass

import json5

DIRECTORY = pathlib.Path(__file__).parents[2] / "examples"
TOKEN_PREFIX = "demo-"


@dataclass(frozen=True, kw_only=True)
class Example:
    """A sheet and the calls that demonstrate it.

    Args:
        name: Name of the example.
        sheet_file: File name of the sheet in ``examples/``.
        customer: Name of the calling customer.
        model: Name of the model service.
        question_call: A call of the model service that is not streamed.
        streamed_call: A streamed call of the model service.
        prompt: Prompt of the model calls.
        plain: Name of the plain service.
        once_call: A once-only call of the plain service.
        once_body: Body of the once-only call.
        words: Titles of the question, the stream and the once-only call.
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
        """The bearer token of the customer; the sheet contains its hash."""
        return TOKEN_PREFIX + self.customer

    def sheet(self):
        """Return the sheet of the example as plain types."""
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
