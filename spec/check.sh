#!/usr/bin/env bash
# Checks every model in this directory exhaustively at its listed sizes. Then
# checks that each seeded fault violates an assertion, because a model that
# cannot fail proves nothing, and that each wanted state is reachable.
#
# A model sets its parameters in comment lines:
#   // SIZE:    -DN=2   one set of constants; each such line is explored
#                       exhaustively
#   // FAULTS:  A B     with -DFAULT_A an assertion must fail at some size
#   // REACHES: A B     with -DREACH_A the assertion that a wanted state is
#                       never reached must fail at some size
#   // PAN:     -m9999  options of the verifier
#   // CC:      -DX     further options of the C compiler
#
# Arguments are the models to check; the default is all. The environment variable
# JOBS is the number of searches that run in parallel (default 4). SIZE lines are
# ordered from the smallest to the largest; a fault is searched for in this order.
# All build products go to a temporary directory.
set -euo pipefail

# words MODEL KEY: prints the words of all "// KEY:" lines.
words() {
	sed -n "s|^// *$2: *||p" "$1" | tr '\n' ' '
}

# sizes MODEL: prints one set of constants per line, or an empty line if the
# model lists no size.
sizes() {
	sed -n 's|^// *SIZE: *||p' "$1" | grep . || echo
}

# explore MODEL DEFINE...: builds and runs the verifier and leaves its report in
# the file $out.
explore() {
	local model=$1 dir options
	shift
	dir=$(mktemp -d "$build/XXXXXX")
	out=$dir/out
	cp "$model" "$dir/model.pml"
	options=$(words "$model" PAN)
	# shellcheck disable=SC2046,SC2086 # options are lists of words
	(
		cd "$dir"
		spin "$@" -a model.pml >spin.out 2>&1 || { cat spin.out; exit 1; }
		gcc "$optimise" -w -DSAFETY -DCOLLAPSE -DVECTORSZ=2048 -DMEMLIM=1500 $(words "$model" CC) -o pan pan.c
		./pan ${options:--m200000} >out 2>&1 || true
	)
}

# Optimisation level of the C compiler. Exhaustive searches are long enough to
# gain from it; fail sets -O0, because most faults are found in less time than the
# optimisation takes.
optimise=-O1

# whole: succeeds if the last search was complete and found no error.
whole() {
	grep -q 'errors: 0' "$out" &&
		! grep -qE 'Search not completed|search depth too small|out of memory|reached -DMEMLIM' "$out"
}

# violated: succeeds if the last search found a violated assertion.
violated() {
	grep -q 'assertion violated' "$out"
}

# states: prints the number of states that the last search stored.
states() {
	sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' "$out"
}

# hold MODEL SIZE: checks that the model has no violation at the given size.
hold() {
	local name size=$2
	name=$(basename "$1" .pml)
	# shellcheck disable=SC2086 # a size is a list of words
	explore "$1" $size
	if ! whole; then
		printf 'FAIL  %s: %s\n%s\n' "$name" "$size" "$(sed 's/^/    /' "$out")"
		return 1
	fi
	echo "ok    $name: holds in all $(states) states at ${size:-its one size}"
}

# fail MODEL DEFINE: checks that DEFINE causes a violation at one size at least.
fail() {
	local name size optimise=-O0
	name=$(basename "$1" .pml)
	while read -r size; do
		# shellcheck disable=SC2086 # a size is a list of words
		explore "$1" $size "-D$2"
		if violated; then
			echo "ok    $name: $2 is found"
			return
		fi
	done < <(sizes "$1")
	printf 'FAIL  %s: %s is NOT found\n%s\n' "$name" "$2" "$(sed 's/^/    /' "$out")"
	return 1
}

# tasks MODEL: prints one search per line, the long ones first.
tasks() {
	local word size
	while read -r size; do
		printf 'hold\t%s\t%s\n' "$1" "$size"
	done < <(sizes "$1")
	for word in $(words "$1" FAULTS); do
		printf 'fail\t%s\tFAULT_%s\n' "$1" "$word"
	done
	for word in $(words "$1" REACHES); do
		printf 'fail\t%s\tREACH_%s\n' "$1" "$word"
	done
}

if [ "${1:-}" = --task ]; then
	build=$(mktemp -d)
	trap 'rm -rf "$build"' EXIT
	IFS=$'\t' read -r kind model argument <<<"$2"
	"$kind" "$model" "$argument"
	exit
fi

self=$(realpath "$0")
if [ $# -eq 0 ]; then
	set -- "$(dirname "$self")"/*.pml
fi
for model in "$@"; do
	tasks "$(realpath "$model")"
done | xargs -d '\n' -P "${JOBS:-4}" -n 1 bash "$self" --task
