#!/usr/bin/env bash
# Plays the quick scores of the regression sites on the users' bench and prints a table: a
# line for each day, with score, worth, and the fractions served, refused and failed.
# FLEETBENCH is the path of the bench and KIT the folder of its pages.
set -euo pipefail
: "${FLEETBENCH:?set it to the path of the bench}" "${KIT:?set it to the folder of its pages}"
cd "$(dirname "$0")/.."
sites="grown/teranga-levain-grown grown/comutare-llm-grown further/peloton-reg
	further-grown/peloton-reg-grown large/teranga-levain-large"
printf '%-24s %s\n' site "day                  own/srv  score  worth served refused failed"
failed=0
for site in $sites; do
	out=$("$FLEETBENCH" score "$KIT/$site.toml" --quick --jobs "${JOBS:-3}" --why "${WHY:-Regression}" 2>&1) || failed=1
	grep -E '^((quiet|trouble|scale)-[0-9]|GATE)' <<<"$out" | sed "s#^#$(printf '%-24s' "$(basename "$site")") #"
	grep -q '^GATE passed' <<<"$out" || failed=1
done
exit "$failed"
