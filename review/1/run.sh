#!/bin/sh
# TROUBLE=0 leaves the disruption out; everything else stays the same.
here=$(cd "$(dirname "$0")" && pwd)
if [ "${TROUBLE:-1}" = 0 ]; then
  disruption=without
else
  disruption=with
fi
exec sh "$here/../run-case.sh" ForeignAnswers "$here" "$disruption"
