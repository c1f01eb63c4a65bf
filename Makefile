BUILD = build
.PHONY: all capacity install-packages demo demo-tcp check bench fuzz install \
	format lint clean

all: $(BUILD)/build.ninja
	ninja -C $(BUILD)

install-packages:
	tools/install-packages

$(BUILD)/build.ninja: install-packages
	test -e $@ || meson setup $(BUILD)

demo: all
	tools/demo $(BUILD)

demo-tcp: all
	tools/demo-tcp $(BUILD)

check: all
	meson test -C $(BUILD) --no-rebuild --print-errorlogs \
		--no-suite known-red

bench: all
	tools/bench $(BUILD)

# Says whether docs/CAPACITY.md agrees with docs/capacity.json.
capacity:
	tools/capacity

install: all
	DESTDIR="$(DESTDIR)" meson install -C $(BUILD) --no-rebuild

FUZZ_SECONDS = 10

fuzz: install-packages
	tools/fuzz $(FUZZ_SECONDS)

format:
	tools/format

lint:
	tools/lint

clean:
	rm -rf $(BUILD) build-*
