"""Write `structs.py` from the IDL files beside it.

``python -m tamarackrill.protocol.generate > structs.py``, then the formatter.  A router
that parsed the IDL at each start would spend a fifth of its start on that (50 of 270
ms), and callers find nobody while all routers start again.
"""

from pathlib import Path
from typing import Any

import thriftpy2
from thriftpy2.thrift import TType

IDL_NAMES = ("peer", "bulletins", "owners", "placements", "usage")
_HEAD = '''"""Messages between routers, generated from the IDL files; see `generate`."""

from thriftpy2.thrift import TPayload, TPayloadMeta, TType
'''
_CLASS = '''

class {name}(TPayload, metaclass=TPayloadMeta):
    """Struct of {file}.thrift."""

    thrift_spec = {{{fields}}}
    default_spec = {defaults}
'''
# Some types have more than one name; the first is that of the IDL.
_TYPE_NAMES = {
    number: name
    for name, number in reversed(vars(TType).items())
    if isinstance(number, int)
}


def load_structs(name: str) -> list[Any]:
    """Return the structs and unions of an IDL file, parsed now."""
    path = Path(__file__).with_name(f"{name}.thrift")
    found = thriftpy2.load(str(path), module_name=f"{name}_thrift").__thrift_meta__
    return [*found["structs"], *found.get("unions", [])]


def format_module() -> str:
    """Return the text of `structs.py`."""
    text = _HEAD
    for file in IDL_NAMES:
        for struct in load_structs(file):
            fields = ", ".join(
                f"{number}: {_format(spec)}"
                for number, spec in struct.thrift_spec.items()
            )
            text += _CLASS.format(
                name=struct.__name__,
                file=file,
                fields=fields,
                defaults=struct.default_spec,
            )
    return text


def _format(spec: object) -> str:
    if isinstance(spec, tuple):
        return f"({', '.join(_format(item) for item in spec)})"
    if isinstance(spec, type):
        return spec.__name__
    if isinstance(spec, int) and not isinstance(spec, bool):
        return f"TType.{_TYPE_NAMES[spec]}"
    return repr(spec)


if __name__ == "__main__":
    print(format_module(), end="")
