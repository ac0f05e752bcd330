"""What the documents say of the code is true."""

from __future__ import annotations

import ast
import contextlib
import io
import re
from collections.abc import Iterator
from pathlib import Path

from spindlerelay.testbed.experiments import matrix
from spindlerelay.testbed.load_generation import outcomes
from spindlerelay.testbed.models import fault_script
from spindlerelay.testbed.models.balancer import BALANCER_PROFILES

ROOT = Path(__file__).parent.parent
ADMISSION = "\n".join(path.read_text() for path in sorted((ROOT / "spindlerelay" / "admission").glob("*.py")))


def test_log_texts_of_the_on_call_page_are_those_of_the_code() -> None:
    page = (ROOT / "docs" / "on-call.md").read_text()
    calls = "\n".join(line for line in ADMISSION.splitlines() if "_log(" in line)
    column = "\n".join(re.findall(r"^\|[^|]*\|[^|]*\|([^|]*)\|", page, re.M))
    logged, told = set(re.findall(r'"([^"]+)"', calls)), set(re.findall(r"`([^`]+)`", column))
    assert logged and told == logged


def test_the_example_of_the_readme_runs() -> None:
    code = re.findall(r"```python\n(.*?)```", (ROOT / "README.md").read_text(), re.S)
    out = io.StringIO()
    with contextlib.redirect_stdout(out):
        exec(code[0], {})
    assert "start request 1" in out.getvalue()


def test_tests_named_in_the_documents_exist() -> None:
    known = "".join(path.read_text() for path in (ROOT / "tests").glob("test_*.py"))
    pages = [*(ROOT / "docs").glob("*.md"), *(ROOT / "docs" / "incidents").glob("*.md")]
    named = {name for page in pages for name in re.findall(r"`(test_\w+)`", page.read_text())}
    assert named and not {name for name in named if f"def {name}(" not in known}


def test_log_lines_of_the_node_are_on_the_on_call_page() -> None:
    page = (ROOT / "docs" / "on-call.md").read_text()
    code = "".join(path.read_text() for path in (ROOT / "spindlerelay").rglob("*.py"))
    kinds = set(re.findall(r'warnings\.warn\(\s*"([^"]+)"', code))
    logged = re.findall(r'logger\.[a-z()_=A-Z.]+\(\s*"([a-zA-Z ]+:[^"]*)"', code)
    kinds |= {text.split(":")[0] for text in logged}
    assert len(kinds) > 15
    assert not {kind for kind in kinds if f"`{kind}`" not in page}


def test_every_key_of_an_experiment_stands_in_its_reference() -> None:
    page = (ROOT / "docs" / "experiments.md").read_text()
    tables = (matrix.Experiment, matrix.VariantTable, matrix.StoryTable, matrix.TroubleTable)
    fields = [(name, field) for table in tables for name, field in table.model_fields.items()]
    assert not [name for name, field in fields if f"`{field.alias or name}`" not in page]


def test_every_habit_trouble_and_reason_stands_on_the_page_of_the_load_tool() -> None:
    page = (ROOT / "docs" / "load.md").read_text()
    words = [
        *BALANCER_PROFILES,
        *fault_script.FAULT_KINDS,
        *(reason for reason in outcomes.REASONS if reason),
    ]
    assert not [word for word in words if f"`{word}`" not in page]


def test_links_of_the_pages_lead_to_files() -> None:
    pages = [*ROOT.glob("*.md"), *(ROOT / "docs").glob("*.md")]
    links = [(page, link) for page in pages for link in re.findall(r"\]\(([^)#]+)", page.read_text())]
    local = [(page, link) for page, link in links if "://" not in link]
    assert len(local) > 50
    assert not [(page.name, link) for page, link in local if not (page.parent / link).exists()]


def test_every_page_is_reached_from_the_readme() -> None:
    linked = set(re.findall(r"\]\(docs/([\w-]+\.md)\)", (ROOT / "README.md").read_text()))
    for page in (ROOT / "docs").glob("*.md"):
        linked |= set(re.findall(r"\]\(([\w-]+\.md)\)", page.read_text()))
    assert not {page.name for page in (ROOT / "docs").glob("*.md")} - linked


def imported_modules(path: Path) -> Iterator[str]:
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module:
            yield from (f"{node.module}.{alias.name}" for alias in node.names)


def package_layers() -> dict[str, int]:
    """Return the layer of each package as the architecture page has it, 1 on top."""
    page = (ROOT / "docs" / "architecture.md").read_text()
    rows = re.findall(r"^\| (\d) \| ([^|]*) \|", page, re.M)
    return {name: int(layer) for layer, names in rows for name in re.findall(r"`(\w+)/?`", names)}


def test_imports_follow_the_layers_of_the_architecture_page() -> None:
    layers = package_layers()
    upward = set()
    for path in (ROOT / "spindlerelay").rglob("*.py"):
        package = path.relative_to(ROOT / "spindlerelay").parts[0].removesuffix(".py")
        imported = [name.split(".")[1] for name in imported_modules(path) if name.startswith("spindlerelay.")]
        upward |= {(package, other) for other in imported if layers.get(other, 9) < layers.get(package, 9)}
    assert len(layers) > 15
    assert upward == set()


def test_every_package_stands_on_the_architecture_page() -> None:
    packages = {path.parent.name for path in (ROOT / "spindlerelay").glob("*/__init__.py")}
    assert len(packages) > 15
    assert not packages - set(package_layers())


def test_only_transport_reads_the_clock_below_the_command_line() -> None:
    layers, root, readers = package_layers(), ROOT / "spindlerelay", set()
    for path in root.rglob("*.py"):
        if any(name.split(".")[0] == "time" for name in imported_modules(path)):
            readers.add(path.relative_to(root).parts[0].removesuffix(".py"))
    assert {package for package in readers if layers.get(package, 9) > 1} == {"transport"}
