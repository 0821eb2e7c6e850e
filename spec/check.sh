#!/bin/sh
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
# Arguments name the models to run; without any, all are. All products go to a
# temporary directory.
set -eu

specs=$(cd "$(dirname "$0")" && pwd)
build=$(mktemp -d)
trap 'rm -rf "$build"' EXIT
failed=0

# words MODEL KEY: the words of all "// KEY:" lines.
words() {
	sed -n "s|^// *$2: *||p" "$1" | tr '\n' ' '
}

# sizes MODEL: one set of constants a line; an empty line if there is none.
sizes() {
	sed -n "s|^// *SIZE: *||p" "$1" | grep . || echo
}

# explore MODEL DEFINE...: builds and runs the verifier; its report is in $out.
explore() {
	model=$(realpath "$1")
	shift
	dir=$(mktemp -d "$build/XXXXXX")
	out=$dir/out
	cp "$model" "$dir/model.pml"
	pan=$(words "$model" PAN)
	# shellcheck disable=SC2046,SC2086 # options are lists of words
	(
		cd "$dir"
		spin "$@" -a model.pml >spin.out 2>&1 || { cat spin.out; exit 1; }
		gcc -O2 -w -DSAFETY -DCOLLAPSE -DVECTORSZ=2048 -DMEMLIM=1500 $(words "$model" CC) -o pan pan.c
		./pan ${pan:--m200000} >out 2>&1 || true
	)
}

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

# must_hold MODEL: no size has a violation.
must_hold() {
	sizes "$1" >"$build/sizes"
	while read -r size; do
		# shellcheck disable=SC2086 # a size is a list of words
		explore "$1" $size
		if whole; then
			echo "ok    $name: holds in all $(states) states at ${size:-its one size}"
		else
			echo "FAIL  $name at ${size:-its one size}"
			sed 's/^/    /' "$out"
			failed=1
		fi
	done <"$build/sizes"
}

# must_fail MODEL DEFINE WHAT: some size has a violation.
must_fail() {
	sizes "$1" >"$build/sizes"
	while read -r size; do
		# shellcheck disable=SC2086 # a size is a list of words
		explore "$1" $size "-D$2"
		if violated; then
			echo "ok    $name: $3"
			return
		fi
	done <"$build/sizes"
	echo "FAIL  $name: NOT so: $3"
	sed 's/^/    /' "$out"
	failed=1
}

check() {
	name=$(basename "$1" .pml)
	must_hold "$1"
	for fault in $(words "$1" FAULTS); do
		must_fail "$1" "FAULT_$fault" "fault $fault is caught"
	done
	for goal in $(words "$1" REACHES); do
		must_fail "$1" "REACH_$goal" "$goal is reached"
	done
}

if [ $# -eq 0 ]; then
	set -- "$specs"/*.pml
fi
for model in "$@"; do
	check "$model"
done
exit $failed
