"""The operator's TOML and the command line: every fault in one clear line, and a lean platform start."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest

from spindlerelay.config import operator
from tests.peers import ROOT, Program

CALLS = '[[dependency]]\nname = "archive"\naddress = "127.0.0.1:5432"\n'
GOOD = '[consul]\naddress = "127.0.0.1:8500"\nservice = "render"\n'


@pytest.mark.parametrize(
    ("text", "words"),
    [
        ('[consul]\nservice = "r"', ["consul.address: missing"]),
        (GOOD.replace("127.0.0.1", "agent.local"), ["consul.address", "'agent.local:8500'", "IPv4 address"]),
        (GOOD.replace(":8500", ""), ["consul.address", "port"]),
        (GOOD + "ttl_ms = 10", ["consul.ttl_ms: 10 stands there", "at least 1000"]),
        (GOOD + 'ttl_ms = "10s"', ["consul.ttl_ms", "number"]),
        (GOOD + 'deregister_after = "10s"', ["consul.deregister_after", "'10s'", 'at least "1m"']),
        (GOOD + "deregister_after = 60", ["consul.deregister_after: 60", "time with its unit"]),
        (GOOD + 'tag = ["a"]', ["consul.tag: no such key", "did you mean tags"]),
        (GOOD + 'tags = "a"', ["consul.tags", "list"]),
        (GOOD + '[consul.meta]\n"a b" = "x"', ["consul.meta.a b", "form"]),
        (GOOD + 'id = "two words"', ["consul.id", "'two words'"]),
        (GOOD + 'token_file = "nowhere"', ["consul.token_file", "nowhere", "No such file"]),
        ("[consull]\nx = 1", ["consull: no such key", "did you mean consul"]),
        ('[log]\nformat = "xml"', ["log.format: 'xml'", "'text' or 'json'"]),
        ("[consul", ["not TOML", "end of a table"]),
        (CALLS + 'routes = [{ clas = "order" }]', ["dependency.0.routes.0.clas", "did you mean class"]),
        (CALLS + "budget = 0", ["dependency.0.budget: 0 stands there", "at least 1"]),
        (CALLS + 'limit = "tcp"', ["dependency.0.limit: 'tcp'", "'aimd', 'vegas' or 'gradient'"]),
        (CALLS + 'open_for = "1ms"', ["dependency.0.open_for", "at least 50"]),
        (CALLS + "open_for = 700", ["dependency.0.open_for: 700", "time with its unit"]),
        (CALLS + 'protocol = "http"', ["dependency.0.protocol: 'http'", "'store'"]),
        (CALLS + 'fallback = ["tariff"]', ["dependency.0.fallback", "unknown dependency 'tariff'"]),
        (CALLS + CALLS, ["dependency.1.name", "duplicate name 'archive'"]),
        ('[metrics]\nevery = "1ms"', ["metrics.every", "at least 100"]),
    ],
)
def test_each_fault_names_file_key_and_the_mend(tmp_path: Path, text: str, words: list[str]) -> None:
    path = tmp_path / "operator.toml"
    path.write_text(text)
    with pytest.raises(operator.OperatorError) as caught:
        operator.read_operator_file(str(path))
    line = "\n".join(caught.value.lines)
    assert str(path) in line and all(word in line for word in words), line


def test_all_faults_of_a_file_are_told_at_once(tmp_path: Path) -> None:
    path = tmp_path / "operator.toml"
    path.write_text('[consul]\naddress = "x"\nttl_ms = 1\nfoo = 2\n[log]\nlevel = "LOUD"\n')
    done = run("check", str(path))
    assert done.returncode == 2 and len(done.stderr.strip().splitlines()) == 5
    assert "Traceback" not in done.stderr


def test_the_example_is_good_and_its_commented_keys_exist(tmp_path: Path) -> None:
    example = ROOT / "deploy" / "operator.toml"
    assert operator.read_operator_file(str(example)).consul
    (tmp_path / "consul.token").write_text("t0\n")
    whole = tmp_path / "operator.toml"
    text = example.read_text().splitlines()
    lines = [x[2:] if x.startswith("# ") and (" = " in x or x[2] == "[") else x for x in text]
    whole.write_text("\n".join(lines))
    table = operator.read_operator_file(str(whole)).consul
    assert table and table.id == "n3" and table.token_file == str(tmp_path / "consul.token")


def test_every_key_stands_in_the_reference() -> None:
    page = (ROOT / "docs" / "configuration.md").read_text()
    tables = (
        operator.ConsulTable,
        operator.LogTable,
        operator.DependencyTable,
        operator.MetricsTable,
        operator.CaptureTable,
    )
    for table in tables:
        assert not [key for key in table.model_fields if f"`{key}`" not in page]


def run(*words: str, **environ: str) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "spindlerelay", *words]
    env = {key: value for key, value in os.environ.items() if key != "LB_CONFIG"} | environ
    return subprocess.run(command, cwd=ROOT, env=env, capture_output=True, text=True, timeout=60)


def test_a_start_without_a_configuration_says_what_to_do() -> None:
    for words in ((), ("run",)):
        done = run(*words)
        assert done.returncode == 2 and "LB_CONFIG" in done.stderr and "make demo" in done.stderr
        assert len(done.stderr.strip().splitlines()) == 1


@pytest.mark.parametrize(
    ("words", "told"),
    [
        (("drill", "nothing"), "consul"),
        (("demo", "--nodes", "99"), "22"),
        (("wrong",), "No such command"),
        (("run", "--operator", "nowhere.toml"), "nowhere.toml"),
    ],
)
def test_bad_command_lines_end_with_one_line_and_status_2(words: tuple[str, ...], told: str) -> None:
    done = run(*words)
    assert done.returncode == 2 and told in done.stderr and "Traceback" not in done.stderr
    assert len(done.stderr.strip().splitlines()) == 1


def test_the_platforms_start_loads_no_command_line_laboratory_or_feature() -> None:
    code = (
        "import sys, spindlerelay.__main__ as m, spindlerelay.process.service\n"
        "heavy = ('click', 'pydantic', 'rich', 'hdrh', 'matplotlib', 'numpy', 'httptools', 'consul',\n"
        "         'tomllib', 'scipy', 'jinja2', 'spindlerelay.observability',\n"
        "         'spindlerelay.cli', 'spindlerelay.testbed', 'spindlerelay.consul',\n"
        "         'spindlerelay.membership', 'spindlerelay.routing',\n"
        "         'spindlerelay.config.operator', 'spindlerelay.dependencies')\n"
        "found = [n for n in sys.modules if any(n == h or n.startswith(h + '.') for h in heavy)]\n"
        "print(found)"
    )
    done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, timeout=60)
    assert done.stdout.strip() == "[]", done.stdout + done.stderr


def test_a_node_that_cannot_reach_its_interpreter_for_long_says_so_and_takes_it_back(tmp_path: Path) -> None:
    """It went on reporting itself healthy, and requests were sent to where nothing could run them."""
    with Program(tmp_path) as node:
        node.interpreter.expect("CONNECT", "0")
        balancer = node.balancer()
        assert balancer.response(balancer.call("ping", [{}])) is True
        node.interpreter.running = False  # it takes links and says nothing
        node.interpreter.cut()
        while node.discovery.recv(100) != b"announce n3 false":
            pass
        assert balancer.response(balancer.call("ping", [{}])) is False
        node.wait_for_log("interpreter unreachable: node reported as not accepting requests")
        node.interpreter.greet()
        while node.discovery.recv(100) != b"announce n3 true":
            pass
