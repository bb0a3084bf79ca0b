#!/bin/bash
# Writes record.txt in this folder. Exits with 1 if the rule was broken, 0 if
# it held and 2 if the case could not run.
cd "$(dirname "$0")" && exec python3 case.py
