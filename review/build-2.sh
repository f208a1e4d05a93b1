#!/bin/sh
# Builds what the scripts of the cases 6 to 10 start. Their stand-ins are in Python, of its standard library only.
cd "$(dirname "$0")/.." || exit 2
cargo build --release --locked -p oleanderstage-node || exit 2
PYTHONDONTWRITEBYTECODE=1 python3 - <<'END'
import glob
for name in glob.glob("review/standin-2/*.py") + glob.glob("review/[0-9]*/case.py"):
    with open(name) as file:
        compile(file.read(), name, "exec")
END
