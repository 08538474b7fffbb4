#!/bin/bash
# Builds the stand-ins of cases 4 to 8, after the build of the deploy file. Works offline.
set -e
root=$(cd "$(dirname "$0")/.." && pwd)
mkdir -p "$root/target/review-2"
javac -proc:none -encoding UTF-8 -cp "$root/target/dapplestair.jar" -d "$root/target/review-2" \
  "$root"/review/stand-ins-2/review2/*.java
