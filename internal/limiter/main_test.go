package limiter_test

import (
	"os"
	"testing"

	"github.com/sapphiresail/sapphiresail/internal/fuzzer"
)

func TestMain(m *testing.M) {
	fuzzer.SetFlags(500)
	os.Exit(m.Run())
}
