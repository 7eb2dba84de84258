#!/bin/sh
# Builds the stand-ins of the cases: review/bin/case-N from review/N/case.c.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/bin
for source in review/[0-9]*/case.c
do
	[ -e "$source" ] || continue
	number=$(basename "$(dirname "$source")")
	${CC:-gcc} -std=gnu11 -O1 -g -Wall -Wextra -Ireview/standin \
		-o "review/bin/case-$number" "$source" review/standin/*.c \
		$(pkg-config --cflags --libs jansson) -lpthread
done
