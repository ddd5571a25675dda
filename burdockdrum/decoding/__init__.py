"""Decoding of data that other processes sent."""

from burdockdrum.decoding.decoding import decode
from burdockdrum.decoding.decoding import decode_json
from burdockdrum.decoding.decoding import decode_msgpack
from burdockdrum.decoding.decoding import Int64
from burdockdrum.decoding.decoding import InvalidData

__all__ = ["decode", "decode_json", "decode_msgpack", "Int64", "InvalidData"]
