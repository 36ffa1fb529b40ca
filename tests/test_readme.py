"""The README's example of embedding the decision module runs unchanged and prints what it promises."""

from __future__ import annotations

import re
from pathlib import Path

import pytest


def test_the_embedding_example_of_the_readme_runs(capsys: pytest.CaptureFixture[str]) -> None:
    text = (Path(__file__).resolve().parent.parent / "README.md").read_text()
    code = re.search(r"```python\n(.*?)```", text, re.S)
    assert code is not None
    exec(compile(code.group(1), "README.md", "exec"), {})
    assert "Cancel(request_id='r1', attempt_index=1)" in capsys.readouterr().out
