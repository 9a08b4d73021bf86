package coordinator

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"hawthornrill.example/hawthornrill/config"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/peer"
)

// demandTTLPeriods is the number of periods after which demand that is not
// refreshed expires.
const demandTTLPeriods = 4

// Service is the coordinator of a node: it campaigns for the leases of the groups
// for which the node is a candidate, and reports the demand on its own pools to the
// candidates.
type Service struct {
	options  Options
	counters *counters
	demand   *demandTable

	mu        sync.Mutex
	derived   *derivedState
	campaigns map[string]*campaign
}

// New returns a service and registers its handler with the transport.
func New(options Options) (*Service, error) {
	o := options.withDefaults()
	if o.OrderTimeout >= o.LeaseMargin {
		return nil, fmt.Errorf("coordinator: order timeout %v is not less than the lease's margin %v", o.OrderTimeout, o.LeaseMargin)
	}
	s := &Service{
		options:   o,
		counters:  newCounters(o.Metrics),
		demand:    newDemandTable(demandTTLPeriods * o.Period),
		derived:   newDerivedState(nil, nil, 0),
		campaigns: make(map[string]*campaign),
	}
	peer.Handle(o.Transport, methodDemand, s.handleDemand)
	return s, nil
}

// Run campaigns and reports demand until the context ends; then it releases its
// leases.
func (s *Service) Run(ctx context.Context) error {
	ticker := time.NewTicker(s.options.Period)
	defer ticker.Stop()
	defer s.stopCampaigns()
	for {
		s.refresh()
		s.updateCampaigns(ctx)
		s.sendDemand(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// refresh returns the state derived from the current configuration and members,
// recomputed if either has changed.
func (s *Service) refresh() *derivedState {
	table, members := s.options.Config.Current(), s.options.Members.Current()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.derived.isFor(table, members) {
		s.derived = newDerivedState(table, members, s.options.Candidates)
	}
	return s.derived
}

// engineRows returns the engines of the group with the given name; none if the
// group no longer exists.
func (s *Service) engineRows(name string) []*config.EndpointRow {
	g := s.refresh().layout.byModel[name]
	if g == nil || g.name != name {
		return nil
	}
	return g.rows
}

// updateCampaigns starts and stops campaigns as the candidates of the groups
// change.
func (s *Service) updateCampaigns(ctx context.Context) {
	wanted := make(map[string]bool)
	for group, members := range s.refresh().candidates {
		if s.includesSelf(members) {
			wanted[group] = true
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for name := range wanted {
		if s.campaigns[name] == nil {
			s.campaigns[name] = s.newCampaign(ctx, name)
		}
	}
	for name, c := range s.campaigns {
		if !wanted[name] {
			c.stop()
			delete(s.campaigns, name)
		}
	}
}

func (s *Service) includesSelf(members []domain.Member) bool {
	return slices.ContainsFunc(members, s.options.Transport.Self().SameIncarnation)
}

func (s *Service) stopCampaigns() {
	s.mu.Lock()
	all := s.campaigns
	s.campaigns = make(map[string]*campaign)
	s.mu.Unlock()
	for _, c := range all {
		c.stop()
		<-c.done
	}
}

// sendDemand reports the demand on the pools of this node to the candidates of each
// group.
func (s *Service) sendDemand(ctx context.Context) {
	derived := s.refresh()
	messages := make(map[domain.Member]*demandMessage)
	for model, demand := range s.options.Demand.Demand() {
		for _, to := range derived.candidatesForModel(model) {
			if messages[to] == nil {
				messages[to] = &demandMessage{}
			}
			messages[to].Demands = append(messages[to].Demands, demandEntry{model, demand})
		}
	}
	for to, message := range messages {
		if to.SameIncarnation(s.options.Transport.Self()) {
			s.demand.update(time.Now(), to.DataCentre, message.Demands)
			continue
		}
		_ = peer.Send(ctx, s.options.Transport, to, methodDemand, *message) // Sent again in the next period.
	}
}

func (s *Service) handleDemand(_ context.Context, from domain.Member, m demandMessage) (struct{}, error) {
	if from.DataCentre == "" {
		return struct{}{}, errNoDataCentre
	}
	s.demand.update(time.Now(), from.DataCentre, m.Demands)
	return struct{}{}, nil
}

// errNoDataCentre rejects demand from a sender without a data centre.
var errNoDataCentre = errors.New("coordinator: sender has no data centre")
