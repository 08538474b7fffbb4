#!/bin/sh
# Runs one case: run-case.sh CLASS FOLDER with|without (the disruption). Ends all processes that the case started.
here=$(cd "$(dirname "$0")/.." && pwd)
folder=$(cd "$2" && pwd)
REVIEW_PIDS=$(mktemp)
export REVIEW_PIDS
end() {
  while read -r pid; do kill -KILL "$pid" 2>/dev/null; done <"$REVIEW_PIDS"
  rm -f "$REVIEW_PIDS"
}
trap end EXIT
trap 'exit 2' INT TERM
timeout -k 3 116 java -XX:+UseSerialGC -Xmx256m -Dsun.net.httpserver.nodelay=true \
  -Dsun.net.httpserver.idleInterval=3600 \
  -cp "$here/target/review:$here/target/dapplestair.jar:$here/target/lib/*" "review.$1" "$folder" "$3"
code=$?
case $code in
  0 | 1) exit $code ;;
  *) exit 2 ;;
esac
