package directory

import (
	"testing"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/boottime"
	"hawthornrill.example/hawthornrill/domain"
)

// Guards against an entry that was written before the announcement, or that returns after an outage of the store, putting a
// leaving endpoint back into service.
func TestAnnouncementOutlivesLaterEntries(t *testing.T) {
	d := New()
	first, second := incarnation(1000, false), incarnation(2000, false)
	id := first.Incarnation()
	d.Apply(1, []*Endpoint{first}, nil, 0)
	assert.Assert(t, d.AnnounceLeaving(2, id))
	assert.Assert(t, !d.AnnounceLeaving(3, id), "announced twice")
	assert.Assert(t, d.Current().Endpoint(id).Leaving)
	assert.Assert(t, !first.Leaving, "the entry is shared and must not be modified")
	d.Replace(4, []*Endpoint{incarnation(1000, false)}, 0)
	assert.Assert(t, d.Current().Endpoint(id).Leaving)
	d.Apply(5, nil, []domain.EndpointID{first.ID}, 0)
	d.Apply(6, []*Endpoint{incarnation(1000, false)}, nil, 0)
	assert.Assert(t, d.Current().Endpoint(id).Leaving)
	d.Apply(7, []*Endpoint{second}, nil, 0)
	assert.Assert(t, !d.Current().Endpoint(second.Incarnation()).Leaving)
}

func TestAnnouncementBeforeTheEntryCounts(t *testing.T) {
	d := New()
	assert.Assert(t, d.AnnounceLeaving(1, incarnation(1000, false).Incarnation()))
	d.Apply(2, []*Endpoint{incarnation(1000, false)}, nil, 0)
	assert.Assert(t, d.Current().Endpoint(incarnation(1000, false).Incarnation()).Leaving)
}

func TestAnnouncementsOfUnlistedEndpointsAreForgotten(t *testing.T) {
	d := New()
	d.Apply(1, []*Endpoint{incarnation(1000, false)}, nil, 0)
	d.AnnounceLeaving(1, incarnation(1000, false).Incarnation())
	d.AnnounceLeaving(1, "gone")
	d.Sweep(boottime.Instant(announcementRetention))
	assert.Equal(t, len(d.Announced()), 2)
	d.Sweep(boottime.Instant(announcementRetention) + 2)
	assert.Equal(t, len(d.Announced()), 1, "an announcement of a listed endpoint is kept")
}
