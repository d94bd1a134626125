// Package fuzzer sets a fixed seed and number of cases for property tests, so that results in CI are reproducible.
package fuzzer

import (
	"flag"
	"os"
	"strconv"
)

// CasesVariable names the environment variable that sets the number of cases of a longer run with random seeds.
const CasesVariable = "SAPPHIRESAIL_FUZZ"

const fixedSeed = "20261204"

// SetFlags sets the command-line flags of the property tests; TestMain calls it.
func SetFlags(cases int) {
	if n, err := strconv.Atoi(os.Getenv(CasesVariable)); err == nil && n > 0 {
		setFlag("rapid.checks", strconv.Itoa(n))
		return
	}
	setFlag("rapid.checks", strconv.Itoa(cases))
	setFlag("rapid.seed", fixedSeed)
	setFlag("rapid.nofailfile", "true")
}

func setFlag(name, value string) {
	if f := flag.Lookup(name); f != nil {
		_ = f.Value.Set(value)
	}
}
