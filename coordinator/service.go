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

// demandTTL is how many periods demand stays known without being told again.
const demandTTL = 4

// Service is a node's part in coordination: it campaigns for the groups for which
// it is a candidate, and tells the candidates what its own pools need.
type Service struct {
	options Options
	meters  *meters
	board   *demandBoard

	mu        sync.Mutex
	outlook   *outlook
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
		meters:    newMeters(o.Metrics),
		board:     newDemandBoard(demandTTL * o.Period),
		outlook:   newOutlook(nil, nil, 0),
		campaigns: make(map[string]*campaign),
	}
	peer.Handle(o.Transport, methodDemand, s.serveDemand)
	return s, nil
}

// Run works until the context ends; then it gives up its leases.
func (s *Service) Run(ctx context.Context) error {
	ticker := time.NewTicker(s.options.Period)
	defer ticker.Stop()
	defer s.stopAll()
	for {
		s.refresh()
		s.campaign(ctx)
		s.tellDemand(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// refresh returns what follows from the configuration in force and the members.
func (s *Service) refresh() *outlook {
	table, members := s.options.Config.Current(), s.options.Members.Current()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.outlook.of(table, members) {
		s.outlook = newOutlook(table, members, s.options.Candidates)
	}
	return s.outlook
}

// rowsOf returns the engines of the group that is led under a name.
func (s *Service) rowsOf(name string) []*config.EndpointRow {
	g := s.refresh().layout.byModel[name]
	if g == nil || g.name != name {
		return nil
	}
	return g.rows
}

// campaign begins and ends candidacies.
func (s *Service) campaign(ctx context.Context) {
	wanted := make(map[string]bool)
	for group, members := range s.refresh().candidates {
		if s.among(members) {
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

func (s *Service) among(members []domain.Member) bool {
	return slices.ContainsFunc(members, s.options.Transport.Self().SameIncarnation)
}

func (s *Service) stopAll() {
	s.mu.Lock()
	all := s.campaigns
	s.campaigns = make(map[string]*campaign)
	s.mu.Unlock()
	for _, c := range all {
		c.stop()
		<-c.done
	}
}

// tellDemand tells the candidates of each group what this node's pools need.
func (s *Service) tellDemand(ctx context.Context) {
	o := s.refresh()
	messages := make(map[domain.Member]*demandMessage)
	for model, load := range s.options.Demand.Demand() {
		for _, to := range o.candidatesOf(model) {
			if messages[to] == nil {
				messages[to] = &demandMessage{}
			}
			messages[to].Demands = append(messages[to].Demands, modelLoad{model, load})
		}
	}
	for to, message := range messages {
		if to.SameIncarnation(s.options.Transport.Self()) {
			s.board.hear(time.Now(), to.DataCentre, message.Demands)
			continue
		}
		_ = peer.Send(ctx, s.options.Transport, to, methodDemand, *message) // Told again soon.
	}
}

func (s *Service) serveDemand(_ context.Context, from domain.Member, m demandMessage) (struct{}, error) {
	if from.DataCentre == "" {
		return struct{}{}, errNoDataCentre
	}
	s.board.hear(time.Now(), from.DataCentre, m.Demands)
	return struct{}{}, nil
}

// errNoDataCentre is returned to a sender without a data centre.
var errNoDataCentre = errors.New("coordinator: sender has no data centre")
