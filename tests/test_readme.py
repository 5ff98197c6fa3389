"""The example in the README runs as written; the decision module keeps its size and imports within limits."""

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


def test_decision_module_keeps_its_limits():
    deployment = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    files = [ROOT / name for name in deployment["policy"]]
    own_modules = {file.stem for file in files}
    expected_files = {ROOT / "aspenrill" / "control.py", *(ROOT / "aspenrill" / "policy").glob("[!_]*.py")}
    assert set(files) == expected_files
    lines = [line for file in files for line in file.read_text().splitlines() if line.strip()]
    assert len(lines) >= 300
    for file in files:
        text = file.read_text()
        assert len(text.splitlines()) <= 400
        assert max(map(len, text.splitlines())) <= 110
        for node in ast.walk(ast.parse(text)):
            if isinstance(node, ast.Import):
                assert all(a.name.split(".")[0] in sys.stdlib_module_names for a in node.names), file
            elif isinstance(node, ast.ImportFrom):
                package = (node.module or "").split(".")[0]
                allowed = (
                    {"", "api", "state", "policy", *own_modules} if node.level else sys.stdlib_module_names
                )
                assert package in allowed, file
