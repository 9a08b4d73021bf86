package places

import "hawthornrill.example/hawthornrill/queue"

func queueItem(w *waiter, ask *Ask) queue.Item[*waiter] {
	return queue.Item[*waiter]{
		Value:        w,
		Tier:         ask.Tier,
		Organisation: ask.Organisation,
		Weight:       1,
		Cost:         1,
		Due:          ask.FirstByteDue,
	}
}
