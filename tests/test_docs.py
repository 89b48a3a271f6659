import ast
import json
import re
import shlex
from pathlib import Path

import pytest

from tamarackrill.cli import build_parser
from tamarackrill.contracts import check_contract
from tamarackrill.documents import parse_document
from tamarackrill.exceptions import EXIT_CODES
from tamarackrill.settings import build_parser as build_daemon_parser

ROOT = Path(__file__).parent.parent
PAGES = [ROOT / "README.md", *(ROOT / "docs").rglob("*.md")]
SOURCE = ROOT / "src" / "tamarackrill"
OPERATIONS = (ROOT / "docs" / "OPERATIONS.md").read_text()


def find_blocks(language):
    for page in PAGES:
        for block in re.findall(rf"```{language}\n(.*?)```", page.read_text(), re.S):
            yield page.name, block


def find_commands(program):
    for _, block in find_blocks("console"):
        for line in block.splitlines():
            words = shlex.split(line.removeprefix("$ ").partition(" > ")[0])
            if program in words:
                yield words[words.index(program) + 1 :]


def test_contracts_in_the_docs_are_valid():
    count = 0
    for name, block in find_blocks("json"):
        if "tamarackrill/contract/" in block:
            assert check_contract(parse_document(name, block)).team
            count += 1
    assert count >= 4


@pytest.mark.parametrize(
    ("program", "parser", "least"),
    [
        ("tamarackrill", build_parser(), 10),
        ("tamarackrilld", build_daemon_parser(), 4),
    ],
)
def test_commands_in_the_docs_parse(program, parser, least):
    commands = list(find_commands(program))
    assert len(commands) >= least
    for arguments in commands:
        if arguments != ["--help"]:
            parser.parse_args(arguments)


def test_links_in_the_docs_resolve():
    for page in PAGES:
        for target in re.findall(r"\]\(([^)#:]+)(?:#[^)]*)?\)", page.read_text()):
            assert (page.parent / target).exists(), f"{page.name}: {target}"


def test_each_page_for_operators_is_linked():
    for page in (ROOT / "docs" / "operations").glob("*.md"):
        assert f"(operations/{page.name})" in OPERATIONS, page.name


def find_refusal_codes():
    for path in SOURCE.rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            name = getattr(getattr(node, "func", None), "id", "")
            if "refus" in name.lower():
                texts = [getattr(item, "value", None) for item in node.args]
                yield from (text for text in texts if is_code(text))


def is_code(text):
    runs = ("not_run", "unknown")
    return isinstance(text, str) and text not in runs and text.isidentifier()


def test_each_refusal_code_is_explained():
    # A client that gets an undocumented code can't tell whether to resend the call.
    explained = set(re.findall(r"^\| `(\w+)` \| \d{3} ", OPERATIONS, re.M))
    assert set(find_refusal_codes()) <= explained
    text = "".join(path.read_text() for path in SOURCE.rglob("*.py"))
    assert [code for code in explained if f'"{code}"' not in text] == []


def test_each_exit_code_is_explained():
    for code, meaning in EXIT_CODES.items():
        assert f"| {code} | {meaning} |" in OPERATIONS


def test_published_schema_names_each_field_once_with_its_meaning():
    schema = json.loads((SOURCE / "contract.schema.json").read_text())
    assert all("description" in field for field in schema["properties"].values())
