"""Reads JSON text piece by piece, so that a large document is never in memory as objects all at once."""

from __future__ import annotations

import json
import re
from collections.abc import Callable, Iterator
from typing import Any

DecodeFunction = Callable[[str, int], tuple[Any, int]]

_WHITESPACE = re.compile(r"[ \t\n\r]*")
_SEPARATOR = re.compile(r"[ \t\n\r]*([,\]])[ \t\n\r]*")  # after an array element
_decode_value = json.JSONDecoder().raw_decode


class JsonCursor:
    """A position in JSON text. All methods raise ValueError where the text is not valid JSON."""

    __slots__ = ("text", "position")

    def __init__(self, text: str) -> None:
        self.text = text
        self.position = 0

    def read_value(self, decode: DecodeFunction = _decode_value) -> Any:
        """Read the value that begins here as a whole."""
        self._skip_whitespace()
        value, self.position = decode(self.text, self.position)
        return value

    def is_at(self, prefix: str) -> bool:
        """Skip whitespace and return whether the text continues with this prefix."""
        self._skip_whitespace()
        return self.text.startswith(prefix, self.position)

    def read_keys(self) -> Iterator[str]:
        """Yield the keys of the object that begins here. The caller reads each value before the next key."""
        self._expect("{")
        if self._take("}"):
            return
        while True:
            if not self.is_at('"'):
                raise ValueError(f"expected a key at character {self.position}")
            key = self.read_value()
            self._expect(":")
            yield key
            if self._take("}"):
                return
            self._expect(",")

    def read_elements(self) -> Iterator[Any]:
        """Yield the values of the array that begins here."""
        self._expect("[")
        if self._take("]"):
            return
        text, position = self.text, self.position
        while True:
            value, position = _decode_value(text, position)
            separator = _SEPARATOR.match(text, position)
            if separator is None:
                raise ValueError(f"expected ',' or ']' at character {position}")
            self.position = position = separator.end()
            yield value
            if separator[1] == "]":
                return

    def expect_end(self) -> None:
        """Check that only whitespace follows."""
        self._skip_whitespace()
        if self.position != len(self.text):
            raise ValueError(f"unexpected text at character {self.position}")

    def _skip_whitespace(self) -> None:
        match = _WHITESPACE.match(self.text, self.position)
        assert match is not None
        self.position = match.end()

    def _take(self, char: str) -> bool:
        if not self.is_at(char):
            return False
        self.position += 1
        return True

    def _expect(self, char: str) -> None:
        if not self._take(char):
            raise ValueError(f"expected {char!r} at character {self.position}")
