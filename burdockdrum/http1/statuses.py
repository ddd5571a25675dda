"""The classes of status codes (RFC 9110, section 15)."""

MIN_FINAL_STATUS = 200
MIN_ERROR_STATUS = 300
