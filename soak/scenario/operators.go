package scenario

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/sapphiresail/sapphiresail/soak/checker"
	"github.com/sapphiresail/sapphiresail/soak/standin"
)

// Timing of operators.
const (
	operatorTimeout = time.Second // after which clients of the control address try the next keeper
	readInterval    = 150 * time.Millisecond
	minPublishPause = 1500 * time.Millisecond
	maxPublishPause = 4 * time.Second
	// A drain lasts longer than the time in which it must take effect, so that most of it is checked.
	minDrainTime  = checker.EffectBound + time.Second
	maxDrainTime  = checker.EffectBound + 4*time.Second
	maxDrainPause = 3 * time.Second
)

// operator sends requests to the control addresses.
type operator struct {
	scenario *scenario
	random   *rand.Rand
	client   *http.Client
}

func (s *scenario) newOperator(number uint64) *operator {
	return &operator{scenario: s, random: rand.New(rand.NewPCG(s.options.Seed, number)), client: &http.Client{Timeout: operatorTimeout}}
}

func (o *operator) between(low, high time.Duration) time.Duration {
	return low + time.Duration(o.random.Int64N(int64(high-low)))
}

// send sends a request to one keeper and returns the status, or zero if there was no answer.
func (o *operator) send(ctx context.Context, method, path string, body []byte) (int, []byte) {
	keepers := o.scenario.deployment.keepers
	request, err := http.NewRequestWithContext(ctx, method, "http://"+keepers[o.random.IntN(len(keepers))]+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	response, err := o.client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, answer
}

// sendUntilDone repeats a request until it is acknowledged. It returns false if ctx ends before.
func (o *operator) sendUntilDone(ctx context.Context, path string, body []byte) bool {
	for ctx.Err() == nil {
		if status, _ := o.send(ctx, http.MethodPost, path, body); status == http.StatusOK {
			return true
		}
		pause(ctx, retryPause)
	}
	return false
}

// publish puts the next version of the configuration in force.
func (o *operator) publish(ctx context.Context) bool {
	s := o.scenario
	version := s.version.Load() + 1
	s.checker.Publish(version)
	if !o.sendUntilDone(ctx, standin.PublishPath, standin.ConfigurationBody(version, customersAt(version))) {
		return false
	}
	s.checker.Published(s.now(), version)
	s.version.Store(version)
	return true
}

func (o *operator) publishLoop(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, o.between(minPublishPause, maxPublishPause))
		if o.publish(ctx) {
			o.scenario.printf("configuration %d acknowledged", o.scenario.version.Load())
		}
	}
}

// readLoop reads the configuration from one keeper after another.
func (o *operator) readLoop(ctx context.Context) {
	for ctx.Err() == nil {
		sentAt := o.scenario.now()
		if status, body := o.send(ctx, http.MethodGet, standin.ReadPath, nil); status == http.StatusOK {
			version, err := standin.ConfigurationVersion(body)
			if err != nil || !bytes.Equal(body, standin.ConfigurationBody(version, customersAt(version))) {
				o.scenario.printf("answered with a configuration that differs from version %d: %v", version, err)
				version = 0 // the checker reports it
			}
			o.scenario.checker.Read(sentAt, o.scenario.now(), version)
		}
		pause(ctx, readInterval)
	}
}

// drainLoop drains one data centre after another. The last one is resumed also when ctx ends, within all.
func (o *operator) drainLoop(ctx, all context.Context) {
	s := o.scenario
	for ctx.Err() == nil {
		pause(ctx, o.between(0, maxDrainPause))
		name := dataCentres[o.random.IntN(len(dataCentres))]
		if o.sendUntilDone(ctx, standin.DrainPath(name), nil) {
			s.checker.Drain(s.now(), name)
			s.printf("drain of %s acknowledged", name)
			pause(ctx, o.between(minDrainTime, maxDrainTime))
		}
		s.checker.Resume(name)
		if o.sendUntilDone(all, standin.ResumePath(name), nil) {
			s.printf("resumption of %s acknowledged", name)
		}
	}
}
