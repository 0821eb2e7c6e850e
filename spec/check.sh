#!/usr/bin/env bash
# Runs every model in this directory exhaustively at its stated sizes, and then
# each of its seeded faults, which the model must catch: a model that cannot
# fail proves nothing.
#
# A model names in comment lines
#   // SIZE:    -DN=2   one set of constants; each such line is explored whole
#   // FAULTS:  A B     with -DFAULT_A an assertion must fail at some size
#   // REACHES: A B     with -DREACH_A the assertion that a wanted state is
#                       never reached must fail at some size
#   // PAN:     -m9999  options of the verifier
#   // CC:      -DX     further options of the C compiler
#
# Arguments name the models to run; without any, all are. JOBS searches run
# side by side (4). Sizes stand from the smallest to the largest: a fault is
# looked for in this order. All products go to a temporary directory.
set -euo pipefail

# words MODEL KEY: the words of all "// KEY:" lines.
words() {
	sed -n "s|^// *$2: *||p" "$1" | tr '\n' ' '
}

# sizes MODEL: one set of constants a line; an empty line if there is none.
sizes() {
	sed -n 's|^// *SIZE: *||p' "$1" | grep . || echo
}

# explore MODEL DEFINE...: builds and runs the verifier; its report is in $out.
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

# Long searches are worth optimising; most faults are found in less time than
# that takes.
optimise=-O1

# whole: the last search was complete and found nothing.
whole() {
	grep -q 'errors: 0' "$out" &&
		! grep -qE 'Search not completed|search depth too small|out of memory|reached -DMEMLIM' "$out"
}

# violated: the last search found an assertion that fails.
violated() {
	grep -q 'assertion violated' "$out"
}

states() {
	sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' "$out"
}

# hold MODEL SIZE: there is no violation.
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

# fail MODEL DEFINE: some size has a violation.
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

# tasks MODEL: one search a line, the long ones first.
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
