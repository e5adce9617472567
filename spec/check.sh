#!/usr/bin/env bash
# Checks every specification with spin, then again with each guard removed, which
# must violate a property. Prints the number of states explored and the depth
# reached. Exits with a non-zero status if a result differs from the expected one or
# a search is incomplete.
set -u
cd "$(dirname "$0")" || exit 2
here=$PWD
work=$(mktemp -d) || exit 2
trap 'rm -rf "$work"' EXIT

readonly max_depth=100000      # steps
readonly hash_bits=22          # size of the state table, log2
readonly memory_limit=2000     # megabytes
readonly time_limit=60s        # per search
failed=0

# explore OPTIMIZATION NAME OPTIONS...: runs one search, writes pan's report to
# $work/report, and sets status, states, depth and broken (the violated assertion).
explore() {
	local optimization=$1 name=$2
	shift 2
	rm -f "$work"/pan* "$work"/*.trail
	cp "$here/$name.pml" "$work/model.pml"
	(
		cd "$work" || exit 2
		spin -a "$@" model.pml &&
			gcc "$optimization" -w -DSAFETY -DMEMLIM=$memory_limit -o pan pan.c &&
			timeout $time_limit ./pan -n -w$hash_bits -m$max_depth
	) >"$work/report" 2>&1
	status=$?
	states=$(awk '/states, stored/ {print $1; exit}' "$work/report")
	depth=$(sed -n 's/.*depth reached \([0-9]*\).*/\1/p' "$work/report")
	broken=$(sed -n 's/^pan:[0-9]*: assertion violated *\(.*\) (at depth.*/\1/p' "$work/report")
}

row() { printf '%-11s %-38s %9s states, depth %6s: %s\n' "$1" "$2" "${states:-0}" "${depth:-0}" "$3"; }

# holds NAME OPTIONS...: expects a complete search of the bounded state space
# without an error.
holds() {
	explore -O2 "$@"
	local verdict=holds
	if grep -qE 'Search not completed|too small|out of memory|memory limit' "$work/report" || [ "$status" -ne 0 ]; then
		verdict="SEARCH CUT SHORT"
	fi
	grep -q 'errors: 0' "$work/report" || verdict="FAILS ${broken:-$(tail -n 3 "$work/report")}"
	[ "$verdict" = holds ] || failed=1
	row "$1" "${*:2}" "$verdict"
}

# breaks NAME OPTIONS...: expects that a property fails.
breaks() {
	explore -O0 "$@"
	local verdict="breaks $broken, as expected"
	if [ -z "$broken" ]; then
		verdict="NO PROPERTY BREAKS"
		failed=1
	fi
	row "$1" "${*:2}" "$verdict"
}

# guards NAME: lists the guards that the specification can be compiled without.
guards() { grep -oE '(def |defined\()NO_GUARD_[A-Z_]+' "$1.pml" | sed 's/.*NO_/NO_/' | sort -u; }

holds operations -DATTEMPTS=3
holds operations -DATTEMPTS=2 -DONE_COPY
breaks operations -DATTEMPTS=3 -DWITNESS
for guard in $(guards operations); do
	breaks operations -DATTEMPTS=2 "-D$guard"
done

holds lists
breaks lists -DWITNESS
for guard in $(guards lists); do
	breaks lists "-D$guard"
done

holds orders
holds orders -DLONG_FREEZE
breaks orders -DWITNESS
for guard in $(guards orders); do
	case $guard in
	# These guards protect properties that hold for a freeze of any length.
	NO_GUARD_FENCING | NO_GUARD_RECONCILE) breaks orders -DLONG_FREEZE "-D$guard" ;;
	*) breaks orders "-D$guard" ;;
	esac
done

holds relay
holds relay -DREPEATABLE
breaks relay -DWITNESS
for guard in $(guards relay); do
	case $guard in
	# Only relevant if an attempt may follow one that possibly ran.
	NO_GUARD_EARLIER_ATTEMPT) breaks relay -DREPEATABLE "-D$guard" ;;
	*) breaks relay "-D$guard" ;;
	esac
done

holds currency
holds currency -DERA
breaks currency -DWITNESS
for guard in $(guards currency); do
	case $guard in
	NO_GUARD_ERA_*) breaks currency -DERA "-D$guard" ;;
	*) breaks currency "-D$guard" ;;
	esac
done

[ "$failed" -eq 0 ] || echo "an expectation failed"
exit "$failed"
