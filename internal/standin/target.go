// Package standin simulates the systems outside of sapphiresail: targets and the platform that reboots them.
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

// Work is the request body that stand-in targets interpret; any other body is echoed without delay.
type Work struct {
	// Nonce identifies the request in the execution log.
	Nonce string `json:"nonce"`
	// Millis is the running time of the task, in milliseconds.
	Millis int `json:"millis,omitempty"`
	// ResponseBytes is the size of the response; with 0 the request body is echoed.
	ResponseBytes int `json:"answer-bytes,omitempty"`
	// Truncate closes the connection after the first half of the response.
	Truncate bool `json:"cut,omitempty"`
	// MismatchAttempt puts the attempt id of another request into the response header.
	MismatchAttempt bool `json:"cross,omitempty"`
}

// Timing and limits of stand-in targets.
const (
	announceInterval = time.Second
	announceTimeout  = 2 * time.Second
	// lateStartThreshold is how long after AnnounceLeaving a target may still get tasks without counting them as late.
	lateStartThreshold = 3 * time.Second
	maxStoredResults   = 4096
)

// Target simulates the server on one instance: it announces the instance, runs tasks and keeps their results.
type Target struct {
	instance   fleet.Instance
	entries    []string
	executions *ExecutionLog
	client     *http.Client
	server     *http.Server
	listener   net.Listener
	ctx        context.Context
	cancel     context.CancelFunc
	wg         sync.WaitGroup

	mutex   sync.Mutex
	tasks   map[fleet.AttemptID]fleet.Task
	results map[fleet.AttemptID]result
	// resultOrder lists the stored results from the oldest to the newest.
	resultOrder  []fleet.AttemptID
	leavingSince time.Time
	failing      bool
	// suppressed holds back announcements and refuses tasks.
	suppressed bool
	rebooting  bool
	// bootCtx ends at the next reboot, which aborts the running tasks.
	bootCtx    context.Context
	cancelBoot context.CancelFunc
	usage      fleet.Resources
}

// result is the stored response of a finished task.
type result struct {
	status int
	body   []byte
}

// NewTarget starts a target that listens on a loopback port and announces itself to the entries.
func NewTarget(instance fleet.Instance, entries []string, executions *ExecutionLog) (*Target, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t := &Target{
		instance: instance, entries: entries, executions: executions, client: &http.Client{Timeout: announceTimeout}, listener: listener, ctx: ctx, cancel: cancel,
		tasks: map[fleet.AttemptID]fleet.Task{}, results: map[fleet.AttemptID]result{},
	}
	t.bootCtx, t.cancelBoot = context.WithCancel(ctx)
	t.instance.Address = listener.Addr().String()
	t.instance.BootID = identity.RandomHex(4)
	t.instance.Condition = fleet.Ready
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/tasks/{attempt}", t.handleTask)
	mux.HandleFunc("GET /v1/tasks/{attempt}", t.handleResult)
	mux.HandleFunc("PUT /v1/tasks/{attempt}/lease", t.handleControl)
	mux.HandleFunc("POST /v1/tasks/{attempt}/{action}", t.handleControl)
	t.server = &http.Server{Handler: mux, ReadHeaderTimeout: announceTimeout}
	t.wg.Go(func() { _ = t.server.Serve(listener) })
	t.wg.Go(t.announceLoop)
	return t, nil
}

// ID returns the id of the instance.
func (t *Target) ID() fleet.InstanceID { return t.instance.ID }

// Close stops the target without finishing its tasks and waits for its goroutines.
func (t *Target) Close() error {
	t.cancel()
	err := t.server.Close()
	t.wg.Wait()
	return err
}

// SetFailing makes the target refuse every task as long as failing is set.
func (t *Target) SetFailing(failing bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.failing = failing
}

// SuppressAnnouncements holds back the announcements, and refuses tasks, as long as suppressed is set.
func (t *Target) SuppressAnnouncements(suppressed bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.suppressed = suppressed
}

// AnnounceLeaving sets the condition of the instance to leaving and announces it at once.
func (t *Target) AnnounceLeaving() {
	t.mutex.Lock()
	t.instance.Condition = fleet.Leaving
	t.leavingSince = time.Now()
	t.mutex.Unlock()
	t.announce(0)
}

// Reboot aborts the running tasks, takes the target down for downtime and starts it again with a new boot id. It does nothing
// if bootID does not identify the current boot or a reboot is under way.
func (t *Target) Reboot(bootID string, downtime time.Duration) {
	t.mutex.Lock()
	if t.instance.BootID != bootID || t.rebooting {
		t.mutex.Unlock()
		return
	}
	t.rebooting = true
	t.executions.add(&t.executions.interrupted, len(t.tasks))
	t.cancelBoot()
	t.bootCtx, t.cancelBoot = context.WithCancel(t.ctx)
	t.instance.Condition = fleet.Leaving
	t.suppressed = true
	t.mutex.Unlock()
	t.wg.Go(func() {
		select {
		case <-time.After(downtime):
		case <-t.ctx.Done():
			return
		}
		t.mutex.Lock()
		t.instance.BootID = identity.RandomHex(4)
		t.instance.Sequence = 0
		t.instance.Condition = fleet.Ready
		t.leavingSince = time.Time{}
		t.suppressed = false
		t.rebooting = false
		t.mutex.Unlock()
		t.announce(0)
	})
}

// announceLoop announces the target every announceInterval; after every 8 announcements it moves on to the next entry as the
// first one to try.
func (t *Target) announceLoop() {
	ticker := time.NewTicker(announceInterval)
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

// announce sends one announcement to the entries in order, from an offset on, until one accepts it.
func (t *Target) announce(offset int) {
	announcement, suppressed := t.nextAnnouncement()
	if suppressed {
		return
	}
	for n := range t.entries {
		entry := t.entries[(offset+n+len(t.instance.ID))%len(t.entries)]
		request, err := sling.New().Put("http://" + entry + "/v1/instances/" + string(announcement.ID)).BodyJSON(announcement).Request()
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

// nextAnnouncement returns the next announcement, with a new sequence number, and whether announcements are suppressed.
func (t *Target) nextAnnouncement() (fleet.Instance, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.instance.Sequence++
	announcement := t.instance
	announcement.Tasks = make([]fleet.Task, 0, len(t.tasks))
	for _, task := range t.tasks {
		announcement.Tasks = append(announcement.Tasks, task)
	}
	return announcement, t.suppressed
}

// handleTask runs one task and responds with its result; it aborts the connection if the target reboots meanwhile.
func (t *Target) handleTask(w http.ResponseWriter, r *http.Request) {
	attempt := fleet.AttemptID(r.PathValue("attempt"))
	customer := fleet.CustomerID(r.Header.Get(carrier.HeaderCustomer))
	w.Header().Set(carrier.HeaderAttempt, string(attempt))
	bootCtx, refusal := t.admit(attempt, customer, fleet.QueueID(r.Header.Get(carrier.HeaderQueue)))
	if refusal != "" {
		w.Header().Set(carrier.HeaderOutcome, string(fleet.NotRun))
		http.Error(w, refusal, http.StatusServiceUnavailable)
		return
	}
	defer t.removeTask(attempt)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	var work Work
	_ = json.Unmarshal(body, &work)
	t.executions.recordStart(customer, work.Nonce)
	defer t.executions.recordEnd(customer)
	select {
	case <-time.After(time.Duration(work.Millis) * time.Millisecond):
	case <-bootCtx.Done():
		panic(http.ErrAbortHandler)
	case <-r.Context().Done():
		return
	}
	response := buildResponse(work, body)
	t.storeResult(attempt, result{status: http.StatusOK, body: response})
	t.writeResponse(w, work, attempt, response)
}

// admit adds a task to the running ones and returns the context of the current boot, or the reason of the refusal if the target
// is failing, suppressed or full.
func (t *Target) admit(attempt fleet.AttemptID, customer fleet.CustomerID, queue fleet.QueueID) (context.Context, string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if !t.leavingSince.IsZero() && time.Since(t.leavingSince) > lateStartThreshold {
		t.executions.add(&t.executions.lateStarts, 1)
	}
	switch {
	case t.failing:
		return nil, "broken"
	case t.suppressed:
		return nil, "rebooting"
	case len(t.tasks) >= t.instance.Capacity.Slots:
		return nil, "full"
	}
	t.tasks[attempt] = fleet.Task{Attempt: attempt, Customer: customer, Queue: queue, Usage: t.usage}
	return t.bootCtx, ""
}

func (t *Target) removeTask(attempt fleet.AttemptID) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	delete(t.tasks, attempt)
}

// buildResponse returns the response body: the request body, or the nonce on a line followed by padding.
func buildResponse(work Work, body []byte) []byte {
	if work.ResponseBytes == 0 {
		return body
	}
	response := append([]byte(work.Nonce+"\n"), bytes.Repeat([]byte("."), work.ResponseBytes)...)
	return response[:max(work.ResponseBytes, len(work.Nonce)+1)]
}

// writeResponse sends the response with the headers of a completed task, with the faults that work requests.
func (t *Target) writeResponse(w http.ResponseWriter, work Work, attempt fleet.AttemptID, response []byte) {
	if work.MismatchAttempt {
		w.Header().Set(carrier.HeaderAttempt, string(attempt)+"-other")
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(response)))
	w.Header().Set(carrier.HeaderDigest, carrier.DigestOf(response))
	w.Header().Set(carrier.HeaderOutcome, string(fleet.Done))
	w.WriteHeader(http.StatusOK)
	if work.Truncate {
		_, _ = w.Write(response[:len(response)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(response)
}

// storeResult keeps the result of an attempt and drops the oldest one beyond maxStoredResults.
func (t *Target) storeResult(attempt fleet.AttemptID, r result) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.results[attempt] = r
	t.resultOrder = append(t.resultOrder, attempt)
	if len(t.resultOrder) > maxStoredResults {
		delete(t.results, t.resultOrder[0])
		t.resultOrder = t.resultOrder[1:]
	}
}

// handleResult responds with the stored result of an attempt, 202 while it runs, or 404 if it is not known.
func (t *Target) handleResult(w http.ResponseWriter, r *http.Request) {
	attempt := fleet.AttemptID(r.PathValue("attempt"))
	t.mutex.Lock()
	stored, finished := t.results[attempt]
	_, running := t.tasks[attempt]
	t.mutex.Unlock()
	w.Header().Set(carrier.HeaderAttempt, string(attempt))
	if !finished {
		status := http.StatusNotFound
		if running {
			status = http.StatusAccepted
		}
		w.WriteHeader(status)
		return
	}
	w.Header().Set(carrier.HeaderOutcome, string(fleet.Done))
	w.Header().Set(carrier.HeaderDigest, carrier.DigestOf(stored.body))
	w.WriteHeader(stored.status)
	_, _ = w.Write(stored.body)
}

// handleControl accepts lease renewals and actions without effect, because a stand-in has nothing to throttle.
func (t *Target) handleControl(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusNoContent)
}

// Address returns the host and port on which the target serves tasks.
func (t *Target) Address() string { return t.instance.Address }

// DataCentre returns the data centre of the instance.
func (t *Target) DataCentre() fleet.DataCentreID { return t.instance.DataCentre }
