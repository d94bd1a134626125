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
func (g *Gateway) serveClaimed(w http.ResponseWriter, r *http.Request, req *admittedRequest) {
	claim, opened, p := g.openClaim(r.Context(), req)
	if p != nil {
		g.refuse(w, r, *p)
		return
	}
	if opened {
		g.startClaimed(req)
	} else if !bytes.Equal(claim.Digest, req.digest) {
		g.refuse(w, r, notRunProblem(http.StatusConflict, "the idempotency key was used with other content"))
		return
	}
	if req.async {
		w.Header().Set("Location", "/v1/requests/"+string(claim.Request))
		w.Header().Set("Preference-Applied", "respond-async")
		writeJSON(w, http.StatusAccepted, newRequestStatus(claim))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), req.timeout+settleTimeout)
	defer cancel()
	g.respondWhenSettled(ctx, w, r, claim.Request)
}

// open commits the claim of an order, or returns the one that is there.
func (g *Gateway) openClaim(ctx context.Context, req *admittedRequest) (state.Claim, bool, *problem) {
	key := req.idempotencyKey
	if key == "" {
		key = asyncKeyPrefix + string(req.job.ID)
	}
	req.job.ClaimKey = state.NewClaimKey(req.job.Customer, key)
	claim := state.Claim{
		Key: req.job.ClaimKey, Request: req.job.ID, Customer: req.job.Customer, Queue: req.job.Queue.Name, Digest: req.digest,
		Entry: g.options.Entry, EntryBoot: g.options.Boot, OpenedAt: state.TimestampOf(time.Now()), Repeatable: req.job.Queue.Repeatable,
	}
	if existing, ok := g.lookupClaim(claim.Key); ok && existing.Result != fleet.NotRun {
		return existing, false, nil
	}
	commitCtx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	reply, err := g.options.Replica.Commit(commitCtx, state.OpenClaim{Claim: claim})
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

func (g *Gateway) lookupClaim(key state.ClaimKey) (claim state.Claim, ok bool) {
	g.options.Replica.View(func(s *state.State) { claim, ok = s.Claims[key] })
	return claim, ok
}

// launch runs a claimed request to its end, whether or not its caller stays.
func (g *Gateway) startClaimed(req *admittedRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), req.timeout)
	g.mutex.Lock()
	g.cancels[req.job.ID] = cancel
	g.mutex.Unlock()
	g.inFlight.Add(1)
	go func() {
		defer g.inFlight.Done()
		defer cancel()
		settlement := g.forwardClaimed(ctx, req)
		g.settleClaim(settlement)
		g.mutex.Lock()
		delete(g.cancels, req.job.ID)
		g.mutex.Unlock()
	}()
}

// runClaimed carries a claimed request and returns what is to be recorded.
func (g *Gateway) forwardClaimed(ctx context.Context, req *admittedRequest) state.SettleClaim {
	settlement := state.SettleClaim{Key: req.job.ClaimKey, Request: req.job.ID, ByEntry: true}
	response, err := g.options.Carrier.Run(ctx, req.job)
	if err != nil {
		p := carrierProblem(err)
		settlement.Result, settlement.Status, settlement.Answer = p.Outcome, p.Status, []byte(p.Detail)
		return settlement
	}
	settlement.Result, settlement.Status, settlement.Type, settlement.Attempt = fleet.Done, response.Status, response.ContentType, response.Attempt
	if response.Remainder == nil && len(response.Prefix) <= state.MaxResponseBytes {
		settlement.Answer = response.Prefix
		return settlement
	}
	settlement.Remote = true
	settlement.Answer = nil
	if response.Remainder != nil {
		_, err = io.Copy(io.Discard, response.Remainder)
		response.Close(err == nil)
	}
	settlement.Instance, settlement.Address = response.Instance, response.Address
	return settlement
}

func (g *Gateway) settleClaim(settlement state.SettleClaim) {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	settlement.At = state.TimestampOf(time.Now())
	_, _ = g.options.Replica.Commit(ctx, settlement)
}

// answerClaim waits until a claim is settled and sends what was recorded.
func (g *Gateway) respondWhenSettled(ctx context.Context, w http.ResponseWriter, r *http.Request, id fleet.RequestID) {
	for {
		_, changed := g.options.Replica.Applied()
		var claim state.Claim
		var ok bool
		g.options.Replica.View(func(s *state.State) { claim, ok = s.ClaimByRequest(id) })
		if ok && claim.Result != "" {
			g.writeClaimResponse(ctx, w, r, claim)
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
func (g *Gateway) writeClaimResponse(ctx context.Context, w http.ResponseWriter, r *http.Request, claim state.Claim) {
	if claim.Result != fleet.Done {
		p := problem{Status: max(claim.Status, http.StatusServiceUnavailable), Detail: string(claim.Response), Outcome: claim.Result, Request: claim.Request}
		if claim.Status >= http.StatusBadRequest {
			p.Status = claim.Status
		}
		g.refuse(w, r, p)
		return
	}
	if claim.Remote {
		response, err := g.options.Carrier.Fetch(ctx, claim.Address, claim.Attempt)
		if err != nil {
			g.refuse(w, r, problem{
				Status: http.StatusGone, Outcome: fleet.Done, Request: claim.Request,
				Detail: fmt.Sprintf("the request was done; its answer is no longer kept: %v", err),
			})
			return
		}
		g.writeResponse(w, claim.Request, response)
		return
	}
	response := carrier.RecordedResponse(claim.Attempt, claim.Status, claim.ContentType, claim.Response)
	g.writeResponse(w, claim.Request, response)
}

// requestStatus is what a caller sees of an asynchronous request.
type requestStatus struct {
	Request fleet.RequestID `json:"request"`
	State   string          `json:"state"`
}

func newRequestStatus(claim state.Claim) requestStatus {
	status := requestStatus{Request: claim.Request, State: "running"}
	if claim.Result != "" {
		status.State = string(claim.Result)
	}
	return status
}

// ownRequest finds the claim of a request of the caller's customer.
func (g *Gateway) authorizeClaim(w http.ResponseWriter, r *http.Request) (state.Claim, bool) {
	id := fleet.RequestID(r.PathValue("request"))
	var key state.Key
	var claim state.Claim
	var found bool
	g.options.Replica.View(func(s *state.State) {
		key, _ = s.Authenticate(bearerToken(r))
		claim, found = s.ClaimByRequest(id)
	})
	switch {
	case g.options.Replica.LeaseLeft() <= 0:
		problem{Status: http.StatusServiceUnavailable, Outcome: fleet.Unknown, Detail: "this entry has lost touch with the committed state", RetryAfterSeconds: retryAfterSeconds}.write(w)
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
	claim, ok := g.authorizeClaim(w, r)
	if !ok {
		return
	}
	if claim.Result == "" {
		writeJSON(w, http.StatusAccepted, newRequestStatus(claim))
		return
	}
	g.writeClaimResponse(r.Context(), w, r, claim)
}

// deleteRequest cancels a request at the entry that runs it.
func (g *Gateway) deleteRequest(w http.ResponseWriter, r *http.Request) {
	claim, ok := g.authorizeClaim(w, r)
	if !ok {
		return
	}
	if claim.Result == "" && !g.cancelRequest(claim.Request) && g.options.Messenger != nil {
		g.options.Messenger.Send(claim.Entry, topicCancel, claim.Request)
	}
	writeJSON(w, http.StatusAccepted, newRequestStatus(claim))
}

func (g *Gateway) cancelRequest(id fleet.RequestID) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	cancel, ok := g.cancels[id]
	if ok {
		cancel()
	}
	return ok
}

func (g *Gateway) handleCancel(_ context.Context, _ fleet.EntryID, payload []byte) (any, error) {
	var id fleet.RequestID
	if err := messenger.Codec.Decode(payload, &id); err != nil {
		return nil, err
	}
	g.cancelRequest(id)
	return nil, nil
}
