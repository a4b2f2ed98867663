#!/bin/sh
# Exits with 1 if MIXED was broken, 0 if it held, 2 if the case could not run.
folder=$(cd "$(dirname "$0")" && pwd)
exec "$folder/../../target/review/stand-ins" event-id "$folder/../.." "$folder/record.txt"
