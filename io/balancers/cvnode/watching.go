package cvnode

import (
	"context"
	"time"

	"comfreyvale"
	"comfreyvale/core/cvwire"
	"comfreyvale/io/store/cvshared"
)

const (
	// readMargin is what another balancer's last reading of the directories may be older than a read's wait and its pause, and
	// still count: two whole messages, and their way.
	readMargin = 1300 * time.Millisecond
	// unreadableTime is how long a balancer whose read failed leaves reading to others before it tries again: some outages
	// of a few seconds, at the price of a refused read each.
	unreadableTime = 5 * time.Second
	// keptRecords is how many records of each directory are kept for others: some seconds of the busiest changes.
	keptRecords = 2000
	// keptBytes bounds the records that are kept of each directory.
	keptBytes = 4 << 20
	// routesDirectory and upstreamsDirectory name the directories between balancers.
	routesDirectory    = "routes"
	upstreamsDirectory = "upstreams"
)

// kept are the last records of a directory, without gaps.
type kept struct {
	first   int64
	records []comfreyvale.Change
	bytes   int
}

// add takes the next records; others than the next begin anew.
func (k *kept) add(changes []comfreyvale.Change, whole bool, next int64) {
	if whole || len(changes) > 0 && changes[0].Offset() != k.next() {
		*k = kept{first: next}
		if whole {
			return
		}
		k.first = changes[0].Offset()
	}
	for _, c := range changes {
		k.records = append(k.records, c)
		k.bytes += len(c.Value())
	}
	for len(k.records) > keptRecords || k.bytes > keptBytes {
		k.bytes -= len(k.records[0].Value())
		k.records = k.records[1:]
		k.first++
	}
}

// next is the offset that follows the records.
func (k *kept) next() int64 { return k.first + int64(len(k.records)) }

// from returns the records from an offset on, or false when they are not all kept.
func (k *kept) from(offset int64) ([]comfreyvale.Change, bool) {
	if offset < k.first || offset > k.next() {
		return nil, false
	}
	return k.records[offset-k.first:], true
}

// share returns a directory that one balancer of each data centre reads for all.
func (n *Node) share(name string, own comfreyvale.Directory, read *time.Time) *cvshared.Directory {
	within := n.terms().ReadWait() + n.terms().ReadPause() + readMargin
	return &cvshared.Directory{
		Own: own, Logger: n.Logger,
		Reader: n.isReader,
		Ahead: func(now time.Time, from int64) (string, bool) {
			routes, upstreams, covered := n.news.Ahead(now, within, from, from)
			if name == routesDirectory {
				return routes, covered
			}
			return upstreams, covered
		},
		Fetch: func(ctx context.Context, address string, from int64) (comfreyvale.Changes, error) {
			return n.fetchRecords(ctx, address, name, from)
		},
		Tried: func(now time.Time, err error) { n.tried(now, name, read, err) },
	}
}

// tried notes how a read of a directory from the platform itself ended, with a line when this balancer can no longer read or
// can again; meanwhile others may read for it.
func (n *Node) tried(now time.Time, directory string, read *time.Time, err error) {
	n.mu.Lock()
	failed := n.readFailed
	if err != nil {
		n.readFailed = now
	} else {
		*read, n.readFailed = now, time.Time{}
	}
	n.mu.Unlock()
	line := n.Logger.WithField("directory", directory)
	switch {
	case err != nil && failed.IsZero():
		line.WithError(err).Warn("own read failed")
	case err == nil && !failed.IsZero():
		line.WithField("lastFailedMs", now.Sub(failed).Milliseconds()).Info("own reads work again")
	}
}

// isReader says whether this balancer reads the directories for those of its data centre.
func (n *Node) isReader(now time.Time) bool { return !n.isUnreadable(now) && n.news.Reader(now) }

// isUnreadable says whether this balancer's last read of the directories failed, lately.
func (n *Node) isUnreadable(now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return now.Sub(n.readFailed) < unreadableTime
}

// fetchRecords takes a directory's records from another balancer.
func (n *Node) fetchRecords(ctx context.Context, address, directory string, from int64) (comfreyvale.Changes, error) {
	peer, err := n.relayAddress(address)
	if err != nil {
		return comfreyvale.Changes{}, err
	}
	found, err := n.relays.FetchRecords(ctx, peer, directory, from)
	if err != nil {
		return comfreyvale.Changes{}, err
	}
	changes := make([]comfreyvale.Change, 0, len(found.GetRecords()))
	for _, r := range found.GetRecords() {
		changes = append(changes, comfreyvale.NewChange(r.GetKey(), r.GetValue(), from+int64(len(changes))))
	}
	return comfreyvale.NewChanges(changes, from+int64(len(changes))), nil
}

// records are those of a directory that this balancer keeps for others.
func (n *Node) records(directory string, from int64) *cvwire.DirectoryRecords {
	n.mu.Lock()
	defer n.mu.Unlock()
	k := &n.upstreamsKept
	if directory == routesDirectory {
		k = &n.routesKept
	}
	found, ok := k.from(from)
	message := &cvwire.DirectoryRecords{Kept: ok}
	for _, c := range found {
		message.Records = append(message.Records, &cvwire.DirectoryRecord{Key: c.Key(), Value: c.Value()})
	}
	return message
}

// tellReading puts into a whole message how far this balancer has read the directories.
func (n *Node) tellReading(now time.Time, message *cvwire.News) {
	age := n.readAge(now)
	message.Unreadable, message.Reading = n.isUnreadable(now), n.isReader(now)
	n.mu.Lock()
	defer n.mu.Unlock()
	message.RoutesNext, message.UpstreamsNext = n.routesKept.next(), n.upstreamsKept.next()
	message.ReadAgeMs = uint32(age.Milliseconds())
}

// readAge is how long ago this balancer itself read the directory that it read least lately, an hour at most.
func (n *Node) readAge(now time.Time) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	oldest := n.routesRead
	if n.upstreamsRead.Before(oldest) {
		oldest = n.upstreamsRead
	}
	return min(now.Sub(oldest), time.Hour)
}
