"""Adapter to the users' platform: its names, addresses and encodings.

The modules of this package only translate; all decisions are made in other packages.
"""

from bramleystair.platform._main import main

__all__ = ["main"]
