#!/bin/bash
# A request with two lengths: see claim.txt. TROUBLE=0 sends one length.
cd "$(dirname "$0")" || exit 2
exec timeout -k 5 118 python3 case.py
