package gateway

import (
	"context"
	"fmt"
	"net/http"

	"go.uber.org/zap"

	"github.com/sapphiresail/sapphiresail/internal/event"
	"github.com/sapphiresail/sapphiresail/internal/state"
)

// Committed is the response to a committed command.
type Committed struct {
	Version uint64 `json:"version,omitempty"`
	Digest  string `json:"digest,omitempty"`
	Index   uint64 `json:"index"`
	InForce bool   `json:"in-force"`
}

// commitCommand commits a command; with ?wait it responds when the command is in force on all processes, or after inForceTimeout.
func (g *Gateway) commitCommand(w http.ResponseWriter, r *http.Request, c state.Command) {
	ctx, cancel := context.WithTimeout(r.Context(), commitTimeout)
	defer cancel()
	reply, err := g.options.Replica.Commit(ctx, c)
	if err != nil {
		event.CommandRefused.Info(g.options.Logger, zap.String("command", fmt.Sprintf("%T", c)), zap.String("reason", err.Error()))
		commitProblem(err).write(w)
		return
	}
	g.respondCommitted(w, r, Committed{Version: reply.Version, Digest: reply.Digest, Index: reply.Index})
}

// respondCommitted responds to a committed command; with ?wait it waits until the command is in force on all processes.
func (g *Gateway) respondCommitted(w http.ResponseWriter, r *http.Request, committed Committed) {
	if r.URL.Query().Has("wait") {
		waitCtx, cancelWait := context.WithTimeout(r.Context(), inForceTimeout)
		defer cancelWait()
		committed.InForce = g.options.Leader.WaitApplied(waitCtx, committed.Index) == nil
	}
	writeJSON(w, http.StatusOK, committed)
}
