#!/usr/bin/env bash
# Scores the deployments of the regression runs on the users' bench and compares
# the worth of each day with the committed table. Ends with 1 if a gate failed
# or the mean of a site fell by more than the noise.
#
#   tools/regression.sh BENCH SITES_FOLDER [JOBS] [WHY]
#
# BENCH is the bench's program, SITES_FOLDER the folder that holds the folders
# of the sites. Prints a table like docs/regression.tsv, with the difference to
# it; the first columns of the output can replace that file.
set -euo pipefail
bench=$(realpath "$1") sites=$(realpath "$2") jobs=${3:-3} why=${4:-regression run}
cd "$(dirname "$0")/.."

# The users' bench calls smaller changes of a site noise.
readonly noise=0.03
readonly regression_sites=(
  large/stumpwright-lb-large
  further-grown/langmatt-netz-grown
  further/langmatt-netz
  grown/stumpwright-lb-grown
  grown/gremio-bolsas-grown
)

output=$(mktemp)
trap 'rm -f "$output"' EXIT
failed=0
printf 'site\tday\tworth\tbefore\tdifference\n'
for site in "${regression_sites[@]}"; do
  "$bench" score "$sites/$site.toml" --jobs "$jobs" --why "$why" \
    >"$output" 2>&1 || failed=1
  grep -q '^GATE passed' "$output" || {
    echo "gate not passed: $site" >&2
    failed=1
  }
  name=$(basename "$site")
  # Rows of days: name, machines/servers, score, worth. Days that were drawn
  # just now cannot be compared.
  awk -v site="$name" -v noise="$noise" '
    NR == FNR { if ($1 == site) before[$2] = $3; next }
    $2 ~ /^[0-9]+\/[0-9]+$/ && $1 !~ /^fresh/ {
      known = $1 in before
      difference = known ? $4 - before[$1] : 0
      printf "%s\t%s\t%s\t%s\t%+.3f\n", site, $1, $4,
             known ? before[$1] : "-", difference
      sum += difference; n += known
    }
    END {
      if (n > 0 && sum / n < -noise) {
        printf "%s fell by %.3f on average\n", site, -sum / n > "/dev/stderr"
        exit 1
      }
    }' docs/regression.tsv "$output" || failed=1
done
exit "$failed"
