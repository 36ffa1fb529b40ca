"""JSON text read piece by piece, so that a large document is never held as objects all at once."""

from __future__ import annotations

import json
import re
from collections.abc import Callable, Iterator
from typing import Any

Decode = Callable[[str, int], tuple[Any, int]]

_SPACE = re.compile(r"[ \t\n\r]*")
_SEPARATOR = re.compile(r"[ \t\n\r]*([,\]])[ \t\n\r]*")  # behind an element of an array
_decode = json.JSONDecoder().raw_decode


class JsonCursor:
    """A position in JSON text. Raises ValueError where the text is not sound JSON."""

    __slots__ = ("text", "position")

    def __init__(self, text: str) -> None:
        self.text = text
        self.position = 0

    def read_value(self, decode: Decode = _decode) -> Any:
        """The whole value that begins here."""
        self._skip_space()
        value, self.position = decode(self.text, self.position)
        return value

    def is_at(self, char: str) -> bool:
        """Whether the next value begins with this character."""
        self._skip_space()
        return self.text.startswith(char, self.position)

    def read_keys(self) -> Iterator[str]:
        """The keys of the object that begins here; the caller reads the value of each."""
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
        """The values of the array that begins here."""
        self._expect("[")
        if self._take("]"):
            return
        text, position = self.text, self.position
        while True:
            value, position = _decode(text, position)
            separator = _SEPARATOR.match(text, position)
            if separator is None:
                raise ValueError(f"expected ',' or ']' at character {position}")
            self.position = position = separator.end()
            yield value
            if separator[1] == "]":
                return

    def expect_end(self) -> None:
        """Check that nothing more follows."""
        self._skip_space()
        if self.position != len(self.text):
            raise ValueError(f"unexpected text at character {self.position}")

    def _skip_space(self) -> None:
        match = _SPACE.match(self.text, self.position)
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
