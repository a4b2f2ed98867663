#!/bin/sh
# Exits with 1 if LOST was broken, 0 if it held, 2 if the case could not run.
folder=$(cd "$(dirname "$0")" && pwd)
exec "$folder/../../target/review/stand-ins" large-bodies "$folder/../.." "$folder/record.txt"
