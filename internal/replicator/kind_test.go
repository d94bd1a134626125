package replicator

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestUnknownKindIsUncertain guards against a command that is said not to have run because its leader, of a later version, answered with a kind that
// this one does not know, and against a process that ends when it logs it.
func TestUnknownKindIsUncertain(t *testing.T) {
	for kind, want := range map[Kind]bool{KindNoLeader: true, KindUncertain: false, KindMembershipChange + 1: false, 255: false} {
		assert.Equal(t, kind.notExecuted(), want, kind.Error())
	}
}
