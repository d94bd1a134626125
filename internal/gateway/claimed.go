package gateway

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/sapphiresail/sapphiresail/internal/carrier"
	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/messenger"
	"github.com/sapphiresail/sapphiresail/internal/state"
)

const topicCancel messenger.Topic = 40

// settleTimeout bounds how long the answer of a claim is tried to be recorded.
const settleTimeout = 15 * time.Second

// serveClaimed opens a claim for a request and answers from it; a resend attaches to the claim it finds.
func (g *Gateway) serveClaimed(w http.ResponseWriter, r *http.Request, o *order) {
	claim, mine, p := g.open(r.Context(), o)
	if p != nil {
		g.refuse(w, r, *p)
		return
	}
	if mine {
		g.launch(o)
	} else if !bytes.Equal(claim.Digest, o.digest) {
		g.refuse(w, r, notRun(http.StatusConflict, "the idempotency key was used with other content"))
		return
	}
	if o.async {
		w.Header().Set("Location", "/v1/requests/"+string(claim.Request))
		w.Header().Set("Preference-Applied", "respond-async")
		writeJSON(w, http.StatusAccepted, requestView(claim))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), o.timeout+settleTimeout)
	defer cancel()
	g.answerClaim(ctx, w, r, claim.Request)
}

// open commits the claim of an order, or returns the one that is there.
func (g *Gateway) open(ctx context.Context, o *order) (state.Claim, bool, *problem) {
	key := o.key
	if key == "" {
		key = asyncKeyPrefix + string(o.job.ID)
	}
	o.job.ClaimKey = state.NewClaimKey(o.job.Customer, key)
	claim := state.Claim{
		Key: o.job.ClaimKey, Request: o.job.ID, Customer: o.job.Customer, Queue: o.job.Queue.Name, Digest: o.digest,
		Entry: g.options.Entry, EntryBoot: g.options.Boot, OpenedAt: state.TimestampOf(time.Now()), Repeatable: o.job.Queue.Repeatable,
	}
	if old, ok := g.claimAt(claim.Key); ok && old.Result != fleet.NotRun {
		return old, false, nil
	}
	committing, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	reply, err := g.options.Replica.Commit(committing, state.OpenClaim{Claim: claim})
	if reply.Claim != nil && reply.Refused == state.KindConflict {
		return *reply.Claim, false, nil
	}
	if err != nil {
		p := commitProblem(err)
		p.Outcome = fleet.NotRun
		return state.Claim{}, false, &p
	}
	return claim, true, nil
}

func (g *Gateway) claimAt(key state.ClaimKey) (claim state.Claim, ok bool) {
	g.options.Replica.View(func(s *state.State) { claim, ok = s.Claims[key] })
	return claim, ok
}

// launch runs a claimed request to its end, whether or not its caller stays.
func (g *Gateway) launch(o *order) {
	ctx, cancel := context.WithTimeout(context.Background(), o.timeout)
	g.mutex.Lock()
	g.running[o.job.ID] = cancel
	g.mutex.Unlock()
	g.work.Add(1)
	go func() {
		defer g.work.Done()
		defer cancel()
		settle := g.runClaimed(ctx, o)
		g.settle(settle)
		g.mutex.Lock()
		delete(g.running, o.job.ID)
		g.mutex.Unlock()
	}()
}

// runClaimed carries a claimed request and returns what is to be recorded.
func (g *Gateway) runClaimed(ctx context.Context, o *order) state.SettleClaim {
	s := state.SettleClaim{Key: o.job.ClaimKey, Request: o.job.ID, ByEntry: true}
	answer, err := g.options.Carrier.Run(ctx, o.job)
	if err != nil {
		p := problemOf(err)
		s.Result, s.Status, s.Answer = p.Outcome, p.Status, []byte(p.Detail)
		return s
	}
	s.Result, s.Status, s.Type, s.Attempt = fleet.Done, answer.Status, answer.ContentType, answer.Attempt
	if answer.Remainder == nil && len(answer.Prefix) <= state.MaxResponseBytes {
		s.Answer = answer.Prefix
		return s
	}
	s.Remote = true
	s.Answer = nil
	if answer.Remainder != nil {
		_, err = io.Copy(io.Discard, answer.Remainder)
		answer.Close(err == nil)
	}
	s.Instance, s.Address = answer.Instance, answer.Address
	return s
}

func (g *Gateway) settle(s state.SettleClaim) {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	s.At = state.TimestampOf(time.Now())
	_, _ = g.options.Replica.Commit(ctx, s)
}

// answerClaim waits until a claim is settled and sends what was recorded.
func (g *Gateway) answerClaim(ctx context.Context, w http.ResponseWriter, r *http.Request, id fleet.RequestID) {
	for {
		_, changed := g.options.Replica.Applied()
		var claim state.Claim
		var ok bool
		g.options.Replica.View(func(s *state.State) { claim, ok = s.ClaimByRequest(id) })
		if ok && claim.Result != "" {
			g.writeClaim(ctx, w, r, claim)
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			g.refuse(w, r, problem{Status: http.StatusGatewayTimeout, Outcome: fleet.Unknown, Request: id, Detail: "the request is not settled yet; ask for it again"})
			return
		}
	}
}

// writeClaim sends the recorded answer of a claim, or fetches a large one from its target.
func (g *Gateway) writeClaim(ctx context.Context, w http.ResponseWriter, r *http.Request, c state.Claim) {
	if c.Result != fleet.Done {
		p := problem{Status: max(c.Status, http.StatusServiceUnavailable), Detail: string(c.Response), Outcome: c.Result, Request: c.Request}
		if c.Status >= http.StatusBadRequest {
			p.Status = c.Status
		}
		g.refuse(w, r, p)
		return
	}
	if c.Remote {
		answer, err := g.options.Carrier.Fetch(ctx, c.Address, c.Attempt)
		if err != nil {
			g.refuse(w, r, problem{
				Status: http.StatusGone, Outcome: fleet.Done, Request: c.Request,
				Detail: fmt.Sprintf("the request was done; its answer is no longer kept: %v", err),
			})
			return
		}
		g.writeAnswer(w, c.Request, answer)
		return
	}
	answer := carrier.RecordedResponse(c.Attempt, c.Status, c.ContentType, c.Response)
	g.writeAnswer(w, c.Request, answer)
}

// requestStatus is what a caller sees of an asynchronous request.
type requestStatus struct {
	Request fleet.RequestID `json:"request"`
	State   string          `json:"state"`
}

func requestView(c state.Claim) requestStatus {
	view := requestStatus{Request: c.Request, State: "running"}
	if c.Result != "" {
		view.State = string(c.Result)
	}
	return view
}

// ownRequest finds the claim of a request of the caller's customer.
func (g *Gateway) ownRequest(w http.ResponseWriter, r *http.Request) (state.Claim, bool) {
	id := fleet.RequestID(r.PathValue("request"))
	var key state.Key
	var claim state.Claim
	var found bool
	g.options.Replica.View(func(s *state.State) {
		key, _ = s.Authenticate(bearer(r))
		claim, found = s.ClaimByRequest(id)
	})
	switch {
	case g.options.Replica.LeaseLeft() <= 0:
		problem{Status: http.StatusServiceUnavailable, Outcome: fleet.Unknown, Detail: "this entry has lost touch with the committed state", RetryFor: retrySeconds}.write(w)
	case key.ID == "":
		problem{Status: http.StatusUnauthorized, Outcome: fleet.Unknown, Detail: "the key is missing, wrong or withdrawn"}.write(w)
	case !found || claim.Customer != key.Customer:
		problem{Status: http.StatusNotFound, Outcome: fleet.Unknown, Detail: "no such request"}.write(w)
	default:
		return claim, true
	}
	return claim, false
}

func (g *Gateway) getRequest(w http.ResponseWriter, r *http.Request) {
	claim, ok := g.ownRequest(w, r)
	if !ok {
		return
	}
	if claim.Result == "" {
		writeJSON(w, http.StatusAccepted, requestView(claim))
		return
	}
	g.writeClaim(r.Context(), w, r, claim)
}

// deleteRequest cancels a request at the entry that runs it.
func (g *Gateway) deleteRequest(w http.ResponseWriter, r *http.Request) {
	claim, ok := g.ownRequest(w, r)
	if !ok {
		return
	}
	if claim.Result == "" && !g.cancel(claim.Request) && g.options.Messenger != nil {
		g.options.Messenger.Send(claim.Entry, topicCancel, claim.Request)
	}
	writeJSON(w, http.StatusAccepted, requestView(claim))
}

func (g *Gateway) cancel(id fleet.RequestID) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	stop, ok := g.running[id]
	if ok {
		stop()
	}
	return ok
}

func (g *Gateway) takeCancel(_ context.Context, _ fleet.EntryID, payload []byte) (any, error) {
	var id fleet.RequestID
	if err := messenger.Codec.Decode(payload, &id); err != nil {
		return nil, err
	}
	g.cancel(id)
	return nil, nil
}
