#!/bin/bash
# An unframed answer breaks off: see claim.txt. TROUBLE=0 breaks none off.
# Writes record.txt in this folder. Exit: 1 broken, 0 held, 2 not run.
cd "$(dirname "$0")" || exit 2
exec timeout -k 5 118 python3 case.py
