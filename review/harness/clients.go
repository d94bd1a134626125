package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// queue is a route of the config.
type queue struct{ name, host, prefix, service string }

// customer is a tenant of the config.
type customer struct{ name, key string }

// configBody is a complete config with the fields of the protocol's example.
func configBody(version uint64, queues []queue, customers []customer, services []string) []byte {
	routes, pools, tenants := []map[string]any{}, []map[string]any{}, []map[string]any{}
	for _, q := range queues {
		routes = append(routes, map[string]any{"name": q.name, "host": q.host, "pathPrefix": q.prefix, "routeType": "non_idempotent", "timeoutMs": 3000,
			"targetLatencyMs": 600, "priority": 1, "service": q.service, "attempts": 3, "stretch": 1.6, "authExempt": false})
	}
	for _, s := range services {
		pools = append(pools, map[string]any{"name": s, "healthPath": "/health", "maxConnections": 64, "protocol": "h1", "tls": false, "admissionCheck": false, "standby": false})
	}
	for _, c := range customers {
		tenants = append(tenants, map[string]any{"name": c.name, "apiKeys": []string{c.key}, "priority": 1, "weight": 10, "maxCount": map[string]any{"cpu": 0, "memMb": 0, "gpu": 0}})
	}
	body, _ := json.Marshal(map[string]any{"version": version, "routes": routes, "services": pools,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}, "tenants": tenants})
	return body
}

// publish sends a config until it is acknowledged.
func (f *fleet) publish(body []byte, limit time.Duration) bool {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		for _, control := range f.cluster.controls() {
			_, status, err := f.post(control, "/-/Config.Replace", body)
			f.record.add("operator: Config.Replace at %s: %d %v", control, status, err)
			if status == http.StatusOK {
				return true
			}
		}
	}
	return false
}

// requester calls the entries in turn, as their callers do.
type requester struct {
	fleet *fleet
	queue queue
	key   string
	next  int
}

// call sends one request and returns the status, zero without an answer.
func (r *requester) call(method, id string, body []byte) (int, string) {
	fronts := r.fleet.cluster.fronts()
	r.next++
	request, _ := http.NewRequest(method, "http://"+fronts[r.next%len(fronts)]+r.queue.prefix+id, bytes.NewReader(body))
	request.Host = r.queue.host
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Deadline-Ms", "3000")
	if r.key != "" {
		request.Header.Set("Authorization", "Token "+r.key)
	}
	client := http.Client{Timeout: 3 * time.Second, Transport: shared}
	response, err := client.Do(request)
	if err != nil {
		r.fleet.record.add("requester: %s %s%s: no answer: %v", method, r.queue.prefix, id, err)
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	answer, _ := io.ReadAll(response.Body)
	r.fleet.record.add("requester: %s %s%s: %d %s", method, r.queue.prefix, id, response.StatusCode, answer)
	return response.StatusCode, string(answer)
}

var shared = &http.Transport{MaxIdleConnsPerHost: 64}

// insist repeats a request until it has a clear answer.
func (r *requester) insist(method, id string, body []byte, limit time.Duration) (int, string) {
	status, answer := 0, ""
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(200 * time.Millisecond) {
		if status, answer = r.call(method, id, body); status/100 == 2 || status == http.StatusGone || status == http.StatusNotFound || status == http.StatusUnauthorized {
			return status, answer
		}
	}
	return status, answer
}

// state asks for the state of a job.
func (r *requester) state(id string) string {
	status, answer := r.call(http.MethodGet, id, nil)
	var m struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal([]byte(answer), &m)
	if status == http.StatusOK {
		return m.State
	}
	return fmt.Sprint(status)
}

// step is one step of a job.
type step map[string]any

func jobBody(w work, steps ...step) []byte {
	spec, _ := json.Marshal(w)
	body, _ := json.Marshal(map[string]any{"spec": string(spec), "steps": steps})
	return body
}
