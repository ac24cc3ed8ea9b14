"""Check that decision packages perform no input or output."""

import ast
import pathlib

import pytest

import chervilpitch

PACKAGE = pathlib.Path(chervilpitch.__file__).parent
DECISION_PACKAGES = (
    "accounts",
    "health",
    "limits",
    "membership",
    "model",
    "notes",
    "platform",
    "policy",
    "requests",
    "routing",
    "spread",
)
FORBIDDEN_MODULES = {
    "asyncio",
    "capnp",
    "cheroot",
    "h11",
    "random",
    "select",
    "socket",
    "threading",
    "time",
    "urllib3",
}
MODULES = sorted(
    path for name in DECISION_PACKAGES for path in (PACKAGE / name).rglob("*.py")
)


def imported_names(path):
    """Return the top-level names of all modules that a file imports."""
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            yield from (alias.name.partition(".")[0] for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module and not node.level:
            yield node.module.partition(".")[0]


@pytest.mark.parametrize("path", MODULES, ids=lambda p: str(p.relative_to(PACKAGE)))
def test_decision_module_imports_no_clock_socket_or_thread(path):
    assert not FORBIDDEN_MODULES & set(imported_names(path))


def test_forbidden_import_is_detected(tmp_path):
    module = tmp_path / "bad.py"
    module.write_text("import os, time\n")
    assert "time" in set(imported_names(module))
