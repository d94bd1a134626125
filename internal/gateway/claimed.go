package gateway

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/sapphiresail/sapphiresail/internal/carrier"
	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/messenger"
	"github.com/sapphiresail/sapphiresail/internal/replicator"
	"github.com/sapphiresail/sapphiresail/internal/state"
)

const topicCancel messenger.Topic = 40

// settleTimeout bounds the commit of a claim's result; callers wait this much longer than the timeout of their request.
const settleTimeout = 15 * time.Second

// abandonRetryInterval is the interval between attempts to settle a claim that nobody runs.
const abandonRetryInterval = 500 * time.Millisecond

// serveClaimed opens a claim for a request and responds with its recorded result; a repeated request attaches to the existing claim.
func (g *Gateway) serveClaimed(w http.ResponseWriter, r *http.Request, req *admittedRequest) {
	claim, opened, p := g.openClaim(r.Context(), req)
	if !opened {
		req.lease.Close()
	}
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

// openClaim commits the claim of a request and reports true, or returns the existing claim of the same key and false.
//
// A claim whose request did not run is replaced.
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
		if errors.Is(err, replicator.KindUncertain) {
			g.abandonClaim(claim)
		}
		return state.Claim{}, false, &p
	}
	return claim, true, nil
}

// abandonClaim settles in the background a claim whose commit was uncertain, and which nobody runs, as not run. It commits the claim
// again first, so that the settlement applies whether or not the earlier commit comes through.
//
// If this process ends before, the leader settles the claim (planner.OrphanedClaims).
func (g *Gateway) abandonClaim(claim state.Claim) {
	g.inFlight.Add(1)
	go func() {
		defer g.inFlight.Done()
		for !g.draining.Load() && !g.settleAbandoned(claim) {
			time.Sleep(abandonRetryInterval)
		}
	}()
}

// settleAbandoned commits a claim and its settlement as not run, and reports whether that is done.
func (g *Gateway) settleAbandoned(claim state.Claim) bool {
	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
	defer cancel()
	for _, c := range []state.Command{
		state.OpenClaim{Claim: claim},
		state.SettleClaim{
			Key: claim.Key, Request: claim.Request, ByEntry: true, At: state.TimestampOf(time.Now()),
			Result: fleet.NotRun, Status: http.StatusServiceUnavailable, Answer: []byte("the request was not accepted in time"),
		},
	} {
		if _, err := g.options.Replica.Commit(ctx, c); err != nil {
			var refused *state.Error
			return errors.As(err, &refused) // refused: the claim is not open
		}
	}
	return true
}

func (g *Gateway) lookupClaim(key state.ClaimKey) (claim state.Claim, ok bool) {
	g.options.Replica.View(func(s *state.State) { claim, ok = s.Claims[key] })
	return claim, ok
}

// startClaimed forwards a claimed request in the background until it completes, also if the caller disconnects, and closes its lease.
func (g *Gateway) startClaimed(req *admittedRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), req.timeout)
	g.mutex.Lock()
	g.cancels[req.job.ID] = cancel
	g.mutex.Unlock()
	g.inFlight.Add(1)
	go func() {
		defer g.inFlight.Done()
		defer req.lease.Close()
		defer cancel()
		settlement := g.forwardClaimed(ctx, req)
		g.settleClaim(settlement)
		g.mutex.Lock()
		delete(g.cancels, req.job.ID)
		g.mutex.Unlock()
	}()
}

// forwardClaimed forwards a claimed request and returns the command that records its result.
//
// Of a response that is too large for the state, only the address of the target that keeps it is recorded.
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

// respondWhenSettled waits until the claim of a request is settled and sends the recorded result, or 504 when ctx ends first.
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

// writeClaimResponse sends the recorded response of a claim, or fetches a large one from its target.
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

// requestStatus is the JSON body for a request whose claim is open or settled.
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

// authorizeClaim returns the claim of the request in the path if it belongs to the caller's customer, and writes a problem otherwise.
func (g *Gateway) authorizeClaim(w http.ResponseWriter, r *http.Request) (state.Claim, bool) {
	id := fleet.RequestID(r.PathValue("request"))
	var key state.Key
	var claim state.Claim
	var found bool
	read := func(s *state.State) {
		key, _ = s.Authenticate(bearerToken(r))
		claim, found = s.ClaimByRequest(id)
	}
	g.options.Replica.View(read)
	inTouch := g.options.Replica.LeaseLeft() > 0
	if inTouch && key.ID != "" && !found { // another entry may just have accepted the request
		inTouch = g.catchUp(r.Context()) == nil
		g.options.Replica.View(read)
	}
	switch {
	case !inTouch:
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

// catchUp waits until this entry has applied all commands that were acknowledged before the call.
func (g *Gateway) catchUp(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	index, err := g.options.Leader.ReadIndex(ctx)
	if err != nil {
		return err
	}
	for {
		applied, changed := g.options.Replica.Applied()
		if applied >= index {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
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

// deleteRequest cancels a request, through a message if another entry forwards it.
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
