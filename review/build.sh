#!/usr/bin/env bash
# Checks what the scripts of this review need. Their stand-ins are Python files that use only the
# standard library, so that nothing is compiled; the project's programs come from the build of the
# deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.exit(sys.version_info < (3, 8))' || {
    echo "review: Python 3.8 or newer is needed, found $(python3 --version)" >&2
    exit 2
}
for program in ibisspool ibisspool-agent; do
    test -x "target/release/$program" || {
        echo "review: target/release/$program is missing; run the build of deploy/system.toml" >&2
        exit 2
    }
done
