"""Adapter to the users' platform: its names, addresses and encodings.

Everything that is decided stands elsewhere; the modules here only translate.
"""

from bramleystair.platform._main import main

__all__ = ["main"]
