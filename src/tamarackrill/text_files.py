"""Files of text, and what is told of those that can't be read."""

from tamarackrill.exceptions import Finding, FindingsError


def read_text(path: str, errors: str = "strict") -> str:
    """Return the text of a file in UTF-8.

    Parameters
    ----------
    path : str
        Where it is.
    errors : str, optional
        What is done with bytes that are no text; see `open`.

    Raises
    ------
    FindingsError
        If the file can't be read or holds no text; names the file.
    """
    try:
        with open(path, encoding="utf-8", errors=errors) as file:
            return file.read()
    except OSError as error:
        raise FindingsError([Finding(path, error.strerror or str(error))]) from error
    except UnicodeDecodeError as error:
        message = f"is no UTF-8 text: byte {error.start} can't be read"
        raise FindingsError([Finding(path, message)]) from error
