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

// Topics of the announcement gossip.
const (
	topicVector messenger.Topic = iota + 80
	topicDelta
)

const (
	gossipInterval = 400 * time.Millisecond
	gossipFanout   = 3
	evictInterval  = time.Minute
)

// placer passes the calls of the carrier to the owner, which is created after the carrier.
type placer struct{ daemon *Daemon }

func (p placer) Place(ctx context.Context, a owner.PlacementRequest) (owner.Ticket, error) {
	return p.daemon.owner.Place(ctx, a)
}
func (p placer) Usable(t owner.Ticket) bool    { return p.daemon.owner.Usable(t) }
func (p placer) Track(c owner.InFlightAttempt) { p.daemon.owner.Track(c) }
func (p placer) Finish(e owner.AttemptEnd)     { p.daemon.owner.Finish(e) }

// outcomeFetcher fetches the outcomes of attempts from targets for the leader.
type outcomeFetcher struct{ carrier *carrier.Carrier }

func (o outcomeFetcher) Outcome(ctx context.Context, address string, attempt fleet.AttemptID) (state.SettleClaim, bool) {
	response, err := o.carrier.Fetch(ctx, address, attempt)
	if err != nil {
		return state.SettleClaim{}, false
	}
	defer response.Close(false)
	settlement := state.SettleClaim{Result: fleet.Done, Status: response.Status, Type: response.ContentType, Answer: response.Prefix, Remote: response.Remainder != nil}
	if settlement.Remote {
		settlement.Answer = nil
	}
	return settlement, true
}

// announcementGossip exchanges the announcements of targets with the other processes.
type announcementGossip struct {
	daemon *Daemon
	mutex  sync.Mutex
	sharer *sharer.Sharer
	round  int
}

func newAnnouncementGossip(d *Daemon) *announcementGossip {
	a := &announcementGossip{daemon: d, sharer: sharer.New(d.settings.Entry, d.boot)}
	d.messenger.Handle(topicVector, a.handleVector)
	d.messenger.Handle(topicDelta, a.handleDelta)
	return a
}

// Announce stores the announcement of a target.
func (a *announcementGossip) Announce(i fleet.Instance) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.sharer.Announce(a.daemon.clock(), i) {
		event.InstanceAnnounced.Info(a.daemon.logger, zap.String("instance", string(i.ID)), zap.String("pool", string(i.HomePool)),
			zap.String("data-centre", string(i.DataCentre)), zap.String("rack", string(i.Rack)))
	}
}

// Read calls read under the lock, so that no announcement changes meanwhile.
func (a *announcementGossip) Read(read func(s *sharer.Sharer)) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	read(a.sharer)
}

// gossipLoop sends the version vector of this process to gossipFanout peers a round; they reply with the announcements that it lacks.
func (a *announcementGossip) gossipLoop() {
	ticker := time.NewTicker(gossipInterval)
	defer ticker.Stop()
	lastEviction := time.Duration(0)
	for {
		select {
		case <-a.daemon.ctx.Done():
			return
		case <-ticker.C:
		}
		a.mutex.Lock()
		vector := a.sharer.Vector()
		if now := a.daemon.clock(); now-lastEviction > evictInterval {
			lastEviction = now
			a.sharer.EvictSilent(now)
		}
		a.mutex.Unlock()
		a.round++
		for _, peer := range sharer.SelectPeers(a.peers(), a.round, gossipFanout) {
			a.daemon.messenger.Send(peer, topicVector, vector)
		}
	}
}

func (a *announcementGossip) peers() []fleet.EntryID {
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

func (a *announcementGossip) handleVector(_ context.Context, from fleet.EntryID, payload []byte) (any, error) {
	var v sharer.Vector
	if err := messenger.Codec.Decode(payload, &v); err != nil {
		return nil, err
	}
	a.mutex.Lock()
	delta := a.sharer.Delta(a.daemon.clock(), v)
	a.mutex.Unlock()
	if len(delta) > 0 {
		a.daemon.messenger.Send(from, topicDelta, delta)
	}
	return nil, nil
}

func (a *announcementGossip) handleDelta(_ context.Context, _ fleet.EntryID, payload []byte) (any, error) {
	var d sharer.Delta
	if err := messenger.Codec.Decode(payload, &d); err != nil {
		return nil, err
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.sharer.Merge(a.daemon.clock(), d)
	return nil, nil
}

// platformClient drains and reboots instances over the HTTP interface of the platform.
type platformClient struct {
	client *sling.Sling
}

func newPlatformClient(address string) *platformClient {
	return &platformClient{client: sling.New().Base(address).Client(&http.Client{Timeout: 10 * time.Second})}
}

func (p *platformClient) Drain(ctx context.Context, id fleet.InstanceID) error {
	return p.post(ctx, id, "drain")
}

func (p *platformClient) Reboot(ctx context.Context, id fleet.InstanceID, boot string) error {
	return p.post(ctx, id, "reboot?boot-id="+url.QueryEscape(boot))
}

func (p *platformClient) post(ctx context.Context, id fleet.InstanceID, action string) error {
	request, err := p.client.New().Post(fmt.Sprintf("/v1/instances/%s/%s", id, action)).Request()
	if err != nil {
		return fmt.Errorf("%s %s: %w", action, id, err)
	}
	response, err := p.client.New().Do(request.WithContext(ctx), nil, nil)
	if err != nil {
		return fmt.Errorf("%s %s: %w", action, id, err)
	}
	if response.StatusCode >= http.StatusBadRequest {
		return fmt.Errorf("%s %s: platform returned %s", action, id, response.Status)
	}
	return nil
}
