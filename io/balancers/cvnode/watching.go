package cvnode

import (
	"context"
	"time"

	"comfreyvale/core/cvwire"
	"comfreyvale/io/store/cvwatch"
)

const (
	// watchers is how many balancers read the directories with short waits, so that one may be lost unnoticed.
	watchers = 2
	// watchTask names the watchers' task where balancers share tasks out.
	watchTask = "watch"
	// watchedTime is how long ago another balancer may have read the directories to count as watching: a short wait, its
	// pause, and two whole messages.
	watchedTime = 3500 * time.Millisecond
	// superviseTime is the time between two looks whether a long wait must end.
	superviseTime = 250 * time.Millisecond
	// missedTime is how long a read may wait although others have read further: the pause that gathers records, and a
	// message's way.
	missedTime = 700 * time.Millisecond
)

// wait is how long this balancer's reads wait for a record. Few balancers read with short waits; the others notice by their
// news when a read of their own was forgotten.
func (n *Node) wait() time.Duration {
	now := time.Now()
	if _, _, watched := n.news.Watched(now, watchedTime); watched && !n.news.Among(now, watchTask, watchers) {
		return cvwatch.LongWait
	}
	return cvwatch.ShortWait
}

// supervise ends long waits that have missed something, or whose balancer has become a watcher.
func (n *Node) supervise(ctx context.Context) error {
	ticker := time.NewTicker(superviseTime)
	defer ticker.Stop()
	const anyOffset = 1 << 62
	for {
		select {
		case now := <-ticker.C:
			routes, upstreams, _ := n.news.Watched(now, watchedTime)
			n.routesWatch.Hurry(now, missedTime, routes)
			n.upstreamsWatch.Hurry(now, missedTime, upstreams)
			if longest := n.wait(); longest < cvwatch.LongWait {
				n.routesWatch.Hurry(now, longest+superviseTime, anyOffset)
				n.upstreamsWatch.Hurry(now, longest+superviseTime, anyOffset)
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// tellReading puts into a whole message how far this balancer has read the directories.
func (n *Node) tellReading(now time.Time, message *cvwire.News) {
	message.RoutesNext, message.UpstreamsNext = n.routesWatch.Next(), n.upstreamsWatch.Next()
	message.ReadAgeMs = uint32(n.readAge(now).Milliseconds())
}

// readAge is how long ago the directory that was read least lately was read, an hour at most.
func (n *Node) readAge(now time.Time) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	oldest := n.routesRead
	if n.upstreamsRead.Before(oldest) {
		oldest = n.upstreamsRead
	}
	return min(now.Sub(oldest), time.Hour)
}
