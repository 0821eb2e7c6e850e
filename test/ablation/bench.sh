#!/usr/bin/env bash
# Plays days of the users' bench with each policy switched off in turn, and prints the
# mean worth: what a policy is worth is the first line less its own.
#
#   FLEETBENCH=PROGRAM test/ablation/bench.sh SITE DAY[:SEED]...
#
# Each policy is played in a scratch copy of the committed tree, whose journal entries
# are copied into journal/ afterwards. JOBS is the number of days at once (4).
set -euo pipefail

: "${FLEETBENCH:?name the program of the bench}"
readonly jobs=${JOBS:-4}
root=$(git rev-parse --show-toplevel)
site=$(realpath "$1")
shift
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

policies=$(grep -oP '^\t\w+ +Name = "\K[^"]+' "$root/internal/packetface/policy/policy.go")

# Prints "DAY WORTH" of one day.
play() {
	local day=${1%%:*} seed=()
	if [[ $1 == *:* ]]; then seed=(--seed "${1##*:}"); fi
	"$FLEETBENCH" run "$site" "$day" "${seed[@]}" --why "$2" |
		awk -v day="$1" '$2 ~ /^[0-9]+\/[0-9]+$/ { print day, $4 }'
}
export -f play
export FLEETBENCH site

# Plays all days with a policy switched off, none for an empty name.
without() {
	local tree="$work/tree" why="ablation: all policies"
	rm -rf "$tree"
	git clone -q "$root" "$tree"
	cd "$tree"
	if [ -n "$1" ]; then
		why="ablation: without $1"
		sed -i "s/\(^run = .*\)\"\$/\1 --without $1\"/" deploy/system.toml
	fi
	"$FLEETBENCH" build >/dev/null
	printf '%s\n' "${@:2}" | xargs -P "$jobs" -I{} bash -c 'play "$1" "$2"' _ {} "$why" | sort |
		awk -v name="${1:-all policies}" '{ days = days "  " $1 " " $2; sum += $2; n++ }
			END { printf "%-16s %.4f %s\n", name, sum / n, days }'
	find journal -name '*.json' -newer .git/HEAD -exec cp -n -t "$root/journal" {} +
	cd "$root"
}

for policy in "" $policies; do
	without "$policy" "$@"
done
