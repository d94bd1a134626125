package sharer_test

import (
	"os"
	"testing"

	"github.com/sapphiresail/sapphiresail/internal/fuzzer"
)

func TestMain(m *testing.M) {
	fuzzer.SetFlags(200)
	os.Exit(m.Run())
}
