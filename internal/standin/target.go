// Package standin provides stand-ins for the outside systems: targets and the platform that reboots them.
package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/dghubble/sling"

	"github.com/sapphiresail/sapphiresail/internal/carrier"
	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/identity"
)

// Work is the content of a request that stand-in targets understand; any other content is echoed.
type Work struct {
	Nonce       string `json:"nonce"`
	Millis      int    `json:"millis,omitempty"`
	AnswerBytes int    `json:"answer-bytes,omitempty"`
	// Cut ends the answer after its first half.
	Cut bool `json:"cut,omitempty"`
	// Cross answers with the attempt id of another request.
	Cross bool `json:"cross,omitempty"`
}

// Timing of stand-in targets.
const (
	announceEvery = time.Second
	announceLimit = 2 * time.Second
	lateAfter     = 3 * time.Second
	resultsKept   = 4096
)

// Target is a stand-in for one target instance.
type Target struct {
	instance fleet.Instance
	entries  []string
	ledger   *Ledger
	client   *http.Client
	server   *http.Server
	listener net.Listener
	ctx      context.Context
	cancel   context.CancelFunc
	wait     sync.WaitGroup

	mutex     sync.Mutex
	tasks     map[fleet.AttemptID]fleet.Task
	results   map[fleet.AttemptID]result
	order     []fleet.AttemptID
	leaving   time.Time
	broken    bool
	silent    bool
	rebooting bool
	session   context.Context
	reset     context.CancelFunc
	usage     fleet.Resources
}

type result struct {
	status int
	body   []byte
}

// NewTarget starts a target that listens on the loopback address and announces itself at the entries.
func NewTarget(i fleet.Instance, entries []string, ledger *Ledger) (*Target, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t := &Target{
		instance: i, entries: entries, ledger: ledger, client: &http.Client{Timeout: announceLimit}, listener: listener, ctx: ctx, cancel: cancel,
		tasks: map[fleet.AttemptID]fleet.Task{}, results: map[fleet.AttemptID]result{},
	}
	t.session, t.reset = context.WithCancel(ctx)
	t.instance.Address = listener.Addr().String()
	t.instance.BootID = identity.RandomHex(4)
	t.instance.Condition = fleet.Ready
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/tasks/{attempt}", t.run)
	mux.HandleFunc("GET /v1/tasks/{attempt}", t.result)
	mux.HandleFunc("PUT /v1/tasks/{attempt}/lease", t.control)
	mux.HandleFunc("POST /v1/tasks/{attempt}/{action}", t.control)
	t.server = &http.Server{Handler: mux, ReadHeaderTimeout: announceLimit}
	t.wait.Go(func() { _ = t.server.Serve(listener) })
	t.wait.Go(t.announceLoop)
	return t, nil
}

// ID returns the id of the instance.
func (t *Target) ID() fleet.InstanceID { return t.instance.ID }

// Close stops the target at once and waits for its goroutines.
func (t *Target) Close() error {
	t.cancel()
	err := t.server.Close()
	t.wait.Wait()
	return err
}

// Break makes the target fail everything it starts while on.
func (t *Target) Break(on bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.broken = on
}

// Silence stops the announcements while on.
func (t *Target) Silence(on bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.silent = on
}

// Leave makes the target announce that it is leaving.
func (t *Target) Leave() {
	t.mutex.Lock()
	t.instance.Condition = fleet.Leaving
	t.leaving = time.Now()
	t.mutex.Unlock()
	t.announce(0)
}

// Reboot cuts what runs, stays away for a while and comes back with a new boot id; it does nothing when the target
// has booted since boot or is rebooting.
func (t *Target) Reboot(boot string, away time.Duration) {
	t.mutex.Lock()
	if t.instance.BootID != boot || t.rebooting {
		t.mutex.Unlock()
		return
	}
	t.rebooting = true
	t.ledger.count(&t.ledger.cut, len(t.tasks))
	t.reset()
	t.session, t.reset = context.WithCancel(t.ctx)
	t.instance.Condition = fleet.Leaving
	t.silent = true
	t.mutex.Unlock()
	t.wait.Go(func() {
		select {
		case <-time.After(away):
		case <-t.ctx.Done():
			return
		}
		t.mutex.Lock()
		t.instance.BootID = identity.RandomHex(4)
		t.instance.Sequence = 0
		t.instance.Condition = fleet.Ready
		t.leaving = time.Time{}
		t.silent = false
		t.rebooting = false
		t.mutex.Unlock()
		t.announce(0)
	})
}

// announceLoop announces the target at one entry after another until one takes it.
func (t *Target) announceLoop() {
	ticker := time.NewTicker(announceEvery)
	defer ticker.Stop()
	for round := 0; ; round++ {
		t.announce(round / 8)
		select {
		case <-ticker.C:
		case <-t.ctx.Done():
			return
		}
	}
}

func (t *Target) announce(first int) {
	i, quiet := t.snapshot()
	if quiet {
		return
	}
	for n := range t.entries {
		entry := t.entries[(first+n+len(t.instance.ID))%len(t.entries)]
		request, err := sling.New().Put("http://" + entry + "/v1/instances/" + string(i.ID)).BodyJSON(i).Request()
		if err != nil {
			return
		}
		response, err := t.client.Do(request.WithContext(t.ctx))
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if response.StatusCode == http.StatusNoContent {
			return
		}
	}
}

func (t *Target) snapshot() (fleet.Instance, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.instance.Sequence++
	i := t.instance
	i.Tasks = make([]fleet.Task, 0, len(t.tasks))
	for _, x := range t.tasks {
		i.Tasks = append(i.Tasks, x)
	}
	return i, t.silent
}

// run takes one task, works on it and answers.
func (t *Target) run(w http.ResponseWriter, r *http.Request) {
	attempt := fleet.AttemptID(r.PathValue("attempt"))
	customer := fleet.CustomerID(r.Header.Get(carrier.HeaderCustomer))
	w.Header().Set(carrier.HeaderAttempt, string(attempt))
	session, refusal := t.begin(attempt, customer, fleet.QueueID(r.Header.Get(carrier.HeaderQueue)))
	if refusal != "" {
		w.Header().Set(carrier.HeaderOutcome, string(fleet.NotRun))
		http.Error(w, refusal, http.StatusServiceUnavailable)
		return
	}
	defer t.finish(attempt)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	var work Work
	_ = json.Unmarshal(body, &work)
	t.ledger.begin(customer, work.Nonce)
	defer t.ledger.end(customer)
	select {
	case <-time.After(time.Duration(work.Millis) * time.Millisecond):
	case <-session.Done():
		panic(http.ErrAbortHandler)
	case <-r.Context().Done():
		return
	}
	answer := answerOf(work, body)
	t.remember(attempt, result{status: http.StatusOK, body: answer})
	t.reply(w, work, attempt, answer)
}

// begin takes a task unless the target is broken, leaving or full.
func (t *Target) begin(attempt fleet.AttemptID, customer fleet.CustomerID, queue fleet.QueueID) (context.Context, string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if !t.leaving.IsZero() && time.Since(t.leaving) > lateAfter {
		t.ledger.count(&t.ledger.late, 1)
	}
	switch {
	case t.broken:
		return nil, "broken"
	case t.silent:
		return nil, "rebooting"
	case len(t.tasks) >= t.instance.Capacity.Slots:
		return nil, "full"
	}
	t.tasks[attempt] = fleet.Task{Attempt: attempt, Customer: customer, Queue: queue, Usage: t.usage}
	return t.session, ""
}

func (t *Target) finish(attempt fleet.AttemptID) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	delete(t.tasks, attempt)
}

func answerOf(work Work, body []byte) []byte {
	if work.AnswerBytes == 0 {
		return body
	}
	answer := append([]byte(work.Nonce+"\n"), bytes.Repeat([]byte("."), work.AnswerBytes)...)
	return answer[:max(work.AnswerBytes, len(work.Nonce)+1)]
}

func (t *Target) reply(w http.ResponseWriter, work Work, attempt fleet.AttemptID, answer []byte) {
	if work.Cross {
		w.Header().Set(carrier.HeaderAttempt, string(attempt)+"-other")
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	w.Header().Set(carrier.HeaderDigest, carrier.DigestOf(answer))
	w.Header().Set(carrier.HeaderOutcome, string(fleet.Done))
	w.WriteHeader(http.StatusOK)
	if work.Cut {
		_, _ = w.Write(answer[:len(answer)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(answer)
}

func (t *Target) remember(attempt fleet.AttemptID, r result) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.results[attempt] = r
	t.order = append(t.order, attempt)
	if len(t.order) > resultsKept {
		delete(t.results, t.order[0])
		t.order = t.order[1:]
	}
}

// result gives the recorded answer of an attempt.
func (t *Target) result(w http.ResponseWriter, r *http.Request) {
	attempt := fleet.AttemptID(r.PathValue("attempt"))
	t.mutex.Lock()
	found, done := t.results[attempt]
	_, running := t.tasks[attempt]
	t.mutex.Unlock()
	w.Header().Set(carrier.HeaderAttempt, string(attempt))
	if !done {
		status := http.StatusNotFound
		if running {
			status = http.StatusAccepted
		}
		w.WriteHeader(status)
		return
	}
	w.Header().Set(carrier.HeaderOutcome, string(fleet.Done))
	w.Header().Set(carrier.HeaderDigest, carrier.DigestOf(found.body))
	w.WriteHeader(found.status)
	_, _ = w.Write(found.body)
}

// control takes lease renewals and actions; a stand-in has nothing to throttle.
func (t *Target) control(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }

// Address returns where the target serves tasks.
func (t *Target) Address() string { return t.instance.Address }

// DataCentre returns where the target stands.
func (t *Target) DataCentre() fleet.DataCentreID { return t.instance.DataCentre }
