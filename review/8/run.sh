#!/bin/bash
# An unframed answer breaks off: see claim.txt. TROUBLE=0 breaks none off.
cd "$(dirname "$0")" || exit 2
exec timeout -k 5 118 python3 case.py
