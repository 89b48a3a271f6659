"""Generates `structs.py` from the IDL files in this directory.

Run ``python -m tamarackrill.protocol.generate > structs.py``, then the formatter.
Parsing the IDL at each start would take a fifth of a router's startup time (50 of 270
ms), in which clients get no answer if all routers restart at once.
"""

from pathlib import Path
from typing import Any

import thriftpy2
from thriftpy2.thrift import TType

IDL_NAMES = ("peer", "bulletins", "owners", "placements", "prompts", "slots", "usage")
_HEAD = '''"""Messages between routers, generated from the IDL files; see `generate`."""

from thriftpy2.thrift import TPayload, TPayloadMeta, TType
'''
_CLASS_TEMPLATE = '''

class {name}(TPayload, metaclass=TPayloadMeta):
    """Struct of {file}.thrift."""

    thrift_spec = {{{fields}}}
    default_spec = {defaults}
'''
# Some types have several names, of which the IDL uses the first.
_TYPE_NAMES = {
    number: name
    for name, number in reversed(vars(TType).items())
    if isinstance(number, int)
}


def load_structs(name: str) -> list[Any]:
    """Parse an IDL file and return its structs and unions."""
    path = Path(__file__).with_name(f"{name}.thrift")
    meta = thriftpy2.load(str(path), module_name=f"{name}_thrift").__thrift_meta__
    return [*meta["structs"], *meta.get("unions", [])]


def format_module() -> str:
    """Return the source code of `structs.py`."""
    text = _HEAD
    for file in IDL_NAMES:
        for struct in load_structs(file):
            fields = ", ".join(
                f"{number}: {_format_spec(spec)}"
                for number, spec in struct.thrift_spec.items()
            )
            text += _CLASS_TEMPLATE.format(
                name=struct.__name__,
                file=file,
                fields=fields,
                defaults=struct.default_spec,
            )
    return text


def _format_spec(spec: object) -> str:
    if isinstance(spec, tuple):
        return f"({', '.join(_format_spec(item) for item in spec)})"
    if isinstance(spec, type):
        return spec.__name__
    if isinstance(spec, int) and not isinstance(spec, bool):
        return f"TType.{_TYPE_NAMES[spec]}"
    return repr(spec)


if __name__ == "__main__":
    print(format_module(), end="")
