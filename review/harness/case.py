"""Runs a case: writes record.txt beside its script and turns the outcome into an exit status."""

import asyncio
import os
import pathlib
import sys
import time
import traceback

from .deployment import CannotRun


class Record:
    def __init__(self, path):
        self.file = open(path, "w")
        self.began = time.monotonic()

    def line(self, text, at=None):
        when = (at if at is not None else time.monotonic()) - self.began
        self.file.write(f"{when:9.3f} {text}\n")

    def say(self, text):
        self.line(text)
        print(text, flush=True)


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def main(script, play):
    """`play` takes the record and returns True if the rule held."""
    record = Record(pathlib.Path(script).resolve().parent / (sys.argv[1] if len(sys.argv) > 1 else "record.txt"))
    record.say(f"disruption: {'on' if trouble() else 'off'}")
    try:
        held = asyncio.run(asyncio.wait_for(play(record), 110))
        record.say("the rule held" if held else "the rule was broken")
        status = 0 if held else 1
    except CannotRun as error:
        record.say(f"could not run: {error}")
        status = 2
    except Exception:
        record.say("could not run: " + traceback.format_exc())
        status = 2
    record.file.close()
    sys.exit(status)
