# lagoonpin.  "make demo" and "make check" install what they need.
PROGS	= lagoonpind lagoonpinctl kvstand workstand vmstand lagoonload \
	  lagoonreplay platform/stand
DIRS	= lib core entry platform $(foreach p,$(PROGS),$(if $(wildcard $(p)/*.c),$(p)))
SAN	?= 0
BUILD	?= target

all: deps
	@for d in $(DIRS); do $(MAKE) -s -C $$d SAN=$(SAN) all || exit 1; done

deps:
	@sh mk/deps.sh

# The daemon alone, for a machine that has the packages: set BUILD to a folder.
daemon:
	@for d in lib core entry platform lagoonpind; do \
		$(MAKE) -s -C $$d BUILD=$(BUILD) all || exit 1; done

tests: all
	@$(MAKE) -s -C tests SAN=$(SAN) all

check: tests
	@sh mk/check.sh $(if $(filter 1,$(SAN)),asan,build)

asan:
	@$(MAKE) -s check SAN=1

demo: all
	@sh mk/demo.sh

bench: all
	@sh mk/bench.sh

# A randomized run on the platform's protocols: SEED, JOBS.
soak: all
	@SEED=$(or $(SEED),1) sh mk/soak.sh

lint: deps
	@sh mk/lint.sh

clean:
	rm -rf build asan

.PHONY: all deps daemon tests check asan demo bench soak lint clean
