# Developers' shortcuts; CI calls .ci/run.
.PHONY: generate check

# generate rewrites messenger/ from the schema; needs protoc.
generate:
	bash tools/generate.sh messenger

check:
	bash .ci/run
