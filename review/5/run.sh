#!/bin/sh
# Exits with 1 if RECOVER was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 it leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd)
stand_ins="$folder/../../target/review/stand-ins"
if [ ! -x "$stand_ins" ]; then
    echo "run review/build.sh first" >&2
    exit 2
fi
TROUBLE=${TROUBLE:-1}
export TROUBLE
exec "$stand_ins" tenant-name "$folder/../.." "$folder/record.txt"
