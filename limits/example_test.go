package limits_test

import (
	"errors"
	"fmt"

	"hawthornrill.example/hawthornrill/config"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/limits"
	"hawthornrill.example/hawthornrill/membership"
	"hawthornrill.example/hawthornrill/peer/peertest"
)

// An organisation limited to two requests in flight is admitted a third one after
// another has ended.
func Example() {
	network := peertest.NewNetwork()
	defer network.Close()
	self := domain.Member{Node: "palermo-1", DataCentre: "palermo"}
	drafts := &config.Organisation{OrganisationRow: config.OrganisationRow{ID: "drafts", InFlight: 2}}
	table := config.NewStaticView(&config.Snapshot{
		Organisations: map[domain.OrganisationID]*config.Organisation{drafts.ID: drafts},
	})
	service := limits.New(limits.Options{Transport: network.Node(self), Membership: membership.NewStaticView(membership.AllAlive(self, self)), Config: table})
	defer service.Close()
	first, err := service.Admit(drafts, 100, 50)
	fmt.Println("first:", err)
	_, err = service.Admit(drafts, 100, 50)
	fmt.Println("second:", err)
	_, err = service.Admit(drafts, 100, 50)
	fmt.Println("third is too many:", errors.Is(err, limits.ErrInFlight))
	first.Release(100, 50)
	_, err = service.Admit(drafts, 100, 50)
	fmt.Println("after the first has ended:", err)
	// Output:
	// first: <nil>
	// second: <nil>
	// third is too many: true
	// after the first has ended: <nil>
}
