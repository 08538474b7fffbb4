#!/bin/sh
# Builds the project, whose emulator the cases use, unless it is built, and the cases' own programs.
set -e
cd "$(dirname "$0")/.."
[ -f target/dapplestair.jar ] || mvn -q -B -DskipTests package
mkdir -p target/review
javac -nowarn -cp target/dapplestair.jar:target/lib/* -d target/review review/src/review/*.java
