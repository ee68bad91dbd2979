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
        model_service: Name of the model service.
        question_call: A call of the model service that is not streamed.
        streamed_call: A streamed call of the model service.
        prompt: Prompt of the model calls.
        plain_service: Name of the plain service.
        once_call: A once-only call of the plain service.
        once_body: Body of the once-only call.
        call_titles: Titles of the calls in names of steps, by the keys
            ``question``, ``stream`` and ``once``.
    """

    name: str
    sheet_file: str
    customer: str
    model_service: str
    question_call: str
    streamed_call: str
    prompt: str
    plain_service: str
    once_call: str
    once_body: dict
    call_titles: dict[str, str]

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
    model_service="fitting",
    question_call="advise",
    streamed_call="ask",
    prompt="Which jacket fits a child of 128 cm for a week in Hokkaido?",
    plain_service="booking",
    once_call="hold",
    once_body={"item": "jacket-128", "days": 7},
    call_titles={
        "question": "fitting question",
        "stream": "fitting advice",
        "once": "booking hold",
    },
)
ARCHIVE = Example(
    name="archive",
    sheet_file="archive.sheet.json5",
    customer="frederick-street-chambers",
    model_service="drafting",
    question_call="tags",
    streamed_call="summarise",
    prompt="Summarise the thread on the lease of the San Fernando office.",
    plain_service="archive",
    once_call="hold",
    once_body={"matter": "CV2026-0417", "scope": "all correspondence"},
    call_titles={
        "question": "tagging question",
        "stream": "summary",
        "once": "litigation hold",
    },
)
EXAMPLES = (GUILD, ARCHIVE)
