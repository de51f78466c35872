#!/bin/sh
# Writes the messages and records of an old build to testdata/old-* of their packages, by running its
# code: scripts/oldmessages.sh COMMIT. The values are those of oldmessages_test.go, which must compile
# with that commit.
set -eu
commit=$1
root=$(git rev-parse --show-toplevel)
old=$root/bin/old-$commit
git -C "$root" worktree add --detach "$old" "$commit" >/dev/null
trap 'git -C "$root" worktree remove --force "$old"' EXIT
for package in link reg hub quorum; do
	data=$root/internal/$package/testdata
	rm -rf "$data"/old-*
	mkdir -p "$data"
	cp "$root/internal/$package/oldmessages_test.go" "$old/internal/$package/"
	(cd "$old" && OLD_MESSAGES=$data go test -count=1 -run '^Test(Messages|Disk|Log)OfOldBuild$' "./internal/$package")
done
