"""What the README shows runs as written; the module keeps its limits."""

import ast
import re
import sys
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent


def test_readme_example_runs(capsys):
    code = re.search(r"```python\n(.*?)```", (ROOT / "README.md").read_text(), re.S).group(1)
    exec(compile(code, "README.md", "exec"), {})
    assert "Send(request='r1', engine='engine-a'" in capsys.readouterr().out


def test_module_keeps_its_limits():
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    parts = [ROOT / name for name in deploy["policy"]]
    own = {part.stem for part in parts}
    there = {ROOT / "aspenrill" / "control.py", *(ROOT / "aspenrill" / "policy").glob("[!_]*.py")}
    assert set(parts) == there
    lines = [line for part in parts for line in part.read_text().splitlines() if line.strip()]
    assert len(lines) >= 300
    for part in parts:
        text = part.read_text()
        assert len(text.splitlines()) <= 400
        assert max(map(len, text.splitlines())) <= 110
        for node in ast.walk(ast.parse(text)):
            if isinstance(node, ast.Import):
                assert all(a.name.split(".")[0] in sys.stdlib_module_names for a in node.names), part
            elif isinstance(node, ast.ImportFrom):
                first = (node.module or "").split(".")[0]
                allowed = {"", "api", "state", "policy", *own} if node.level else sys.stdlib_module_names
                assert first in allowed, part
