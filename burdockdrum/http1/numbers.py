"""Parse numbers in headers, which are untrusted input."""

# Longer numbers are rejected: int() raises ValueError on thousands of digits.
MAX_DIGITS = 15


def parse_count(value: bytes | None) -> int | None:
    """Parse a non-negative integer; return None if invalid."""
    digits = (value or b"").strip()
    if not digits.isdigit() or len(digits) > MAX_DIGITS:
        return None
    return int(digits)


def parse_seconds(value: bytes | None) -> float | None:
    """Parse non-negative decimal seconds; return None if invalid."""
    return parse_decimal(value)


def parse_decimal(value: bytes | None) -> float | None:
    """Parse a non-negative decimal number; return None if invalid."""
    whole, dot, fraction = (value or b"").strip().partition(b".")
    if not whole.isdigit() or len(whole) > MAX_DIGITS:
        return None
    if dot and not fraction.isdigit():
        return None
    return float(whole + dot + fraction[:MAX_DIGITS])
