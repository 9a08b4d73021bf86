package directory

import (
	"maps"
	"time"

	"hawthornrill.example/hawthornrill/boottime"
	"hawthornrill.example/hawthornrill/domain"
)

// announcementRetention is how long an announcement is kept of an endpoint that is not listed, since its entry may return after
// an outage of the store.
const announcementRetention = 10 * time.Minute

// AnnounceLeaving records that an endpoint's incarnation has said that it is leaving. Its entries count as leaving from then on,
// whatever they say. It reports whether this was the first time.
func (d *Directory) AnnounceLeaving(now boottime.Instant, incarnation domain.EndpointID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, ok := d.announced[incarnation]; ok {
		return false
	}
	d.announced[incarnation] = now
	if e := d.Current().Endpoint(incarnation); e != nil {
		d.endpoints[e.ID] = d.withAnnouncement(e)
		d.publish()
	}
	return true
}

// Announced returns the incarnations that have said that they are leaving, with the time of the first such response.
func (d *Directory) Announced() map[domain.EndpointID]boottime.Instant {
	d.mu.Lock()
	defer d.mu.Unlock()
	return maps.Clone(d.announced)
}

// forgetAnnouncements drops old announcements of endpoints that are not listed. The lock is held.
func (d *Directory) forgetAnnouncements(now boottime.Instant) {
	listed := d.Current()
	maps.DeleteFunc(d.announced, func(id domain.EndpointID, at boottime.Instant) bool {
		return now.Sub(at) > announcementRetention && listed.Endpoint(id) == nil
	})
}
