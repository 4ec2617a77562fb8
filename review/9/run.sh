#!/bin/bash
# An outage of the store: see claim.txt. TROUBLE=0 has none.
cd "$(dirname "$0")" || exit 2
exec timeout -k 5 118 python3 case.py
