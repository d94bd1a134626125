package gateway

import (
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sapphiresail/sapphiresail/internal/carrier"
	"github.com/sapphiresail/sapphiresail/internal/fault"
	"github.com/sapphiresail/sapphiresail/internal/state"
)

// TestRefusalOfUnknownKindIsAnswered guards against a caller without an answer: a leader of a later version refuses with a kind that this
// process does not know, and a response without a status cannot be written.
func TestRefusalOfUnknownKindIsAnswered(t *testing.T) {
	for _, p := range []problem{
		commitProblem(fault.New("apply", state.Kind(200), "not now")),
		carrierProblem(fault.New("carry", carrier.Kind(200), "not now")),
	} {
		w := httptest.NewRecorder()
		p.write(w)
		assert.Assert(t, w.Code >= 400, "%d %s", w.Code, w.Body)
	}
}
