#!/bin/sh
# Builds the stand-ins of the cases 6 to 8. They are Python programs of this
# folder, so this only checks that an interpreter can read them. The project's
# programs come from the build of the deploy file.
cd "$(dirname "$0")" || exit 1
for file in lib-2/*.py [6-8]/*.py
do
	test -e "$file" || continue
	python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' \
		"$file" || exit 1
done
