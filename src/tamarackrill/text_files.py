"""Read text files, with findings for those that can't be read."""

from tamarackrill.exceptions import Finding, FindingsError


def read_text(path: str, errors: str = "strict") -> str:
    """Return the text of a UTF-8 file.

    Parameters
    ----------
    path : str
        Path of the file.
    errors : str, optional
        How to handle bytes that are not valid UTF-8; see `open`.

    Raises
    ------
    FindingsError
        If the file can't be read or decoded; names the file.
    """
    try:
        with open(path, encoding="utf-8", errors=errors) as file:
            return file.read()
    except OSError as error:
        raise FindingsError([Finding(path, error.strerror or str(error))]) from error
    except UnicodeDecodeError as error:
        message = f"is not valid UTF-8: byte {error.start} can't be decoded"
        raise FindingsError([Finding(path, message)]) from error
