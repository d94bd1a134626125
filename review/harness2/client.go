package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

// Names of the deployment.
const (
	serviceName = "svc"
	queueHost   = "jobs.example"
	mainPrefix  = "/main/"
	apiKey      = "k1-sjnbanfqasnmgkcuyj8p"
)

// callers are the operator and the requesters of the system.
type callers struct {
	record *record
	system *system
	client *http.Client
}

func newCallers(r *record, s *system) *callers {
	return &callers{record: r, system: s, client: &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
}

func (c *callers) do(method, address, path, host string, body []byte) (status int, answer []byte) {
	request, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	request.Host = host
	request.Header.Set("Content-Type", "application/json")
	if host != "" {
		request.Header.Set("Authorization", "Token "+apiKey)
		request.Header.Set("Deadline-Ms", "3000")
	}
	response, err := c.client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	answer, _ = io.ReadAll(response.Body)
	return response.StatusCode, answer
}

// route is a queue of the config.
func route(name, prefix string) map[string]any {
	return map[string]any{"name": name, "host": queueHost, "pathPrefix": prefix, "routeType": "non_idempotent", "timeoutMs": 3000, "targetLatencyMs": 600,
		"priority": 0, "service": serviceName, "attempts": 3, "stretch": 1.6, "authExempt": false}
}

// publish sends a config until it is acknowledged.
func (c *callers) publish(version int, routes ...map[string]any) error {
	for range 20 {
		if c.tryPublish(version, routes...) {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("config %d is not acknowledged", version)
}

// tryPublish sends a config to each keeper in turn and reports whether one has acknowledged it.
func (c *callers) tryPublish(version int, routes ...map[string]any) bool {
	body, _ := json.Marshal(map[string]any{"version": version, "routes": routes,
		"services": []map[string]any{{"name": serviceName, "healthPath": "/health", "maxConnections": 64, "protocol": "h1", "tls": false, "admissionCheck": false, "standby": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []map[string]any{{"name": "tenant-1", "apiKeys": []string{apiKey}, "priority": 1, "weight": 1, "maxCount": map[string]any{"cpu": 0, "memMb": 0, "gpu": 0}}}})
	for _, keeper := range c.system.controlAddresses() {
		status, answer := c.do(http.MethodPost, keeper, "/-/Config.Replace", "", body)
		c.record.line("operator sends config %d to %s: %d %s", version, keeper, status, answer)
		if status == http.StatusOK {
			return true
		}
	}
	return false
}

// step is a step of a job.
type step struct {
	Count        int   `json:"count"`
	CPU          int64 `json:"cpu"`
	MemMB        int64 `json:"memMb"`
	EstRuntimeMS int64 `json:"estRuntimeMs,omitempty"`
	After        []int `json:"after,omitempty"`
	LongRunning  bool  `json:"longRunning,omitempty"`
	MayMiss      int   `json:"mayMiss,omitempty"`
	MaxPerServer int   `json:"maxPerServer,omitempty"`
}

func newJobID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// submit hands a job in until it has an answer that ends the attempts, and reports whether it was accepted.
func (c *callers) submit(prefix, id string, w work, steps ...step) bool {
	spec, _ := json.Marshal(w)
	body, _ := json.Marshal(map[string]any{"spec": string(spec), "steps": steps})
	for n := range 10 {
		status, _ := c.do(http.MethodPost, c.entry(n), prefix+id, queueHost, body)
		c.record.line("requester hands in %s%s: %d", prefix, id, status)
		if status == http.StatusOK {
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

func (c *callers) entry(n int) string {
	return c.system.entries[n%len(c.system.entries)].frontAddress()
}

// state asks for the state of a job.
func (c *callers) state(n int, prefix, id string) string {
	status, answer := c.do(http.MethodGet, c.entry(n), prefix+id, queueHost, nil)
	c.record.line("requester asks for %s%s: %d %s", prefix, id, status, answer)
	return fmt.Sprintf("%d %s", status, answer)
}

// pending asks an entry how many jobs of a queue have not begun. ok is false without an answer.
func (c *callers) pending(n int, prefix string) (count int, ok bool) {
	status, answer := c.do(http.MethodGet, c.entry(n), prefix, queueHost, nil)
	var m struct {
		Pending *int `json:"pending"`
	}
	if status != http.StatusOK || json.Unmarshal(answer, &m) != nil || m.Pending == nil {
		return 0, false
	}
	c.record.line("requester asks for the count of %s: %d", prefix, *m.Pending)
	return *m.Pending, true
}
