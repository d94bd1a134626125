package daemon

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/dghubble/sling"
	"go.uber.org/zap"

	"github.com/sapphiresail/sapphiresail/internal/carrier"
	"github.com/sapphiresail/sapphiresail/internal/event"
	"github.com/sapphiresail/sapphiresail/internal/fleet"
	"github.com/sapphiresail/sapphiresail/internal/messenger"
	"github.com/sapphiresail/sapphiresail/internal/owner"
	"github.com/sapphiresail/sapphiresail/internal/sharer"
	"github.com/sapphiresail/sapphiresail/internal/state"
)

// Topics of the exchange of announcements.
const (
	topicVector messenger.Topic = iota + 80
	topicDelta
)

const (
	shareInterval = 400 * time.Millisecond
	shareFanout   = 3
	forgetEvery   = time.Minute
)

// placer hands the owner to the carrier, which is made first.
type placer struct{ d *Daemon }

func (p placer) Place(ctx context.Context, a owner.PlacementRequest) (owner.Ticket, error) {
	return p.d.owner.Place(ctx, a)
}
func (p placer) Usable(t owner.Ticket) bool    { return p.d.owner.Usable(t) }
func (p placer) Track(c owner.InFlightAttempt) { p.d.owner.Track(c) }
func (p placer) Finish(e owner.AttemptEnd)     { p.d.owner.Finish(e) }

// outcomes asks targets about attempts for the leader.
type outcomes struct{ carrier *carrier.Carrier }

func (o outcomes) Outcome(ctx context.Context, address string, attempt fleet.AttemptID) (state.SettleClaim, bool) {
	a, err := o.carrier.Fetch(ctx, address, attempt)
	if err != nil {
		return state.SettleClaim{}, false
	}
	defer a.Close(false)
	s := state.SettleClaim{Result: fleet.Done, Status: a.Status, Type: a.ContentType, Answer: a.Prefix, Remote: a.Remainder != nil}
	if s.Remote {
		s.Answer = nil
	}
	return s, true
}

// announcements shares what targets say of themselves with the other processes.
type announcements struct {
	daemon *Daemon
	mutex  sync.Mutex
	feeds  *sharer.Sharer
	round  int
}

func newAnnouncements(d *Daemon) *announcements {
	a := &announcements{daemon: d, feeds: sharer.New(d.settings.Entry, d.boot)}
	d.messenger.Handle(topicVector, a.takeVector)
	d.messenger.Handle(topicDelta, a.takeDelta)
	return a
}

// Announce takes the announcement of a target.
func (a *announcements) Announce(i fleet.Instance) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.feeds.Announce(a.daemon.clock(), i) {
		event.InstanceAnnounced.Info(a.daemon.logger, zap.String("instance", string(i.ID)), zap.String("pool", string(i.HomePool)),
			zap.String("data-centre", string(i.DataCentre)), zap.String("rack", string(i.Rack)))
	}
}

// Read holds off changes while read runs.
func (a *announcements) Read(read func(s *sharer.Sharer)) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	read(a.feeds)
}

// loop asks a few peers at a time for the news that this process lacks.
func (a *announcements) loop() {
	ticker := time.NewTicker(shareInterval)
	defer ticker.Stop()
	forgot := time.Duration(0)
	for {
		select {
		case <-a.daemon.ctx.Done():
			return
		case <-ticker.C:
		}
		a.mutex.Lock()
		vector := a.feeds.Vector()
		if now := a.daemon.clock(); now-forgot > forgetEvery {
			forgot = now
			a.feeds.EvictSilent(now)
		}
		a.mutex.Unlock()
		a.round++
		for _, peer := range sharer.SelectPeers(a.peers(), a.round, shareFanout) {
			a.daemon.messenger.Send(peer, topicVector, vector)
		}
	}
}

func (a *announcements) peers() []fleet.EntryID {
	var list []fleet.EntryID
	a.daemon.replicator.View(func(s *state.State) {
		for id := range s.Members {
			if id != a.daemon.settings.Entry {
				list = append(list, id)
			}
		}
	})
	return list
}

func (a *announcements) takeVector(_ context.Context, from fleet.EntryID, payload []byte) (any, error) {
	var v sharer.Vector
	if err := messenger.Codec.Decode(payload, &v); err != nil {
		return nil, err
	}
	a.mutex.Lock()
	delta := a.feeds.Delta(a.daemon.clock(), v)
	a.mutex.Unlock()
	if len(delta) > 0 {
		a.daemon.messenger.Send(from, topicDelta, delta)
	}
	return nil, nil
}

func (a *announcements) takeDelta(_ context.Context, _ fleet.EntryID, payload []byte) (any, error) {
	var d sharer.Delta
	if err := messenger.Codec.Decode(payload, &d); err != nil {
		return nil, err
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.feeds.Merge(a.daemon.clock(), d)
	return nil, nil
}

// platform drains and reboots instances over HTTP.
type platform struct {
	base *sling.Sling
}

func newPlatform(address string) *platform {
	return &platform{base: sling.New().Base(address).Client(&http.Client{Timeout: 10 * time.Second})}
}

func (p *platform) Drain(ctx context.Context, id fleet.InstanceID) error {
	return p.post(ctx, id, "drain")
}

func (p *platform) Reboot(ctx context.Context, id fleet.InstanceID, boot string) error {
	return p.post(ctx, id, "reboot?boot-id="+url.QueryEscape(boot))
}

func (p *platform) post(ctx context.Context, id fleet.InstanceID, action string) error {
	request, err := p.base.New().Post(fmt.Sprintf("/v1/instances/%s/%s", id, action)).Request()
	if err != nil {
		return fmt.Errorf("%s %s: %w", action, id, err)
	}
	response, err := p.base.New().Do(request.WithContext(ctx), nil, nil)
	if err != nil {
		return fmt.Errorf("%s %s: %w", action, id, err)
	}
	if response.StatusCode >= http.StatusBadRequest {
		return fmt.Errorf("%s %s: the platform answered %s", action, id, response.Status)
	}
	return nil
}
