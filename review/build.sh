#!/usr/bin/env bash
# Builds the stand-ins of the scripts. They are Python programs that use the standard library
# only, so that this checks that they compile. Nothing is fetched.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'CHECK'
import pathlib
for path in sorted(pathlib.Path(".").rglob("*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
    print("compiles:", path)
CHECK
