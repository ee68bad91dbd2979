"""Structured logs on standard output, one JSON object per line."""

import sys

import logbook
import msgspec


def log_handler(level, *, process):
    """Return the handler that writes this process's logs.

    Args:
        level: Lowest level to write, by its name in logbook.
        process: The process's name, included in every line.
    """

    def format_record(record, handler):
        line = {
            "time": record.time.isoformat(timespec="milliseconds"),
            "level": record.level_name,
            "process": process,
            "logger": record.channel,
            "message": record.message,
        }
        line.update(record.extra)
        if record.formatted_exception:
            line["exception"] = record.formatted_exception
        return msgspec.json.encode(line, enc_hook=str).decode()

    handler = logbook.StreamHandler(sys.stdout, level=level)
    handler.formatter = format_record
    return handler
