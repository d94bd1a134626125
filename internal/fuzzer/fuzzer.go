// Package fuzzer fixes the seed and the number of cases of property tests, so that CI gives one verdict.
package fuzzer

import (
	"flag"
	"os"
	"strconv"
)

// Variable names the environment variable that asks for a longer run with fresh seeds, as a number of cases.
const CasesVariable = "SAPPHIRESAIL_FUZZ"

const fixedSeed = "20261204"

// Fix sets the flags of the property tests; it is for TestMain.
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
