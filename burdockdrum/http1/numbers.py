"""Numbers in headers, which anybody may have written."""

# As many digits as a count, a length or a time in milliseconds ever has.
# Python refuses to convert thousands of digits, with an error of its own.
MAX_DIGITS = 15


def parse_count(value: bytes | None) -> int | None:
    """Return a number that is not negative, None if it is none."""
    digits = (value or b"").strip()
    if not digits.isdigit() or len(digits) > MAX_DIGITS:
        return None
    return int(digits)


def parse_seconds(value: bytes | None) -> float | None:
    """Return seconds, with or without a fraction, None if it is none."""
    whole, dot, fraction = (value or b"").strip().partition(b".")
    if not whole.isdigit() or len(whole) > MAX_DIGITS:
        return None
    if dot and not fraction.isdigit():
        return None
    return float(whole + dot + fraction[:MAX_DIGITS])
