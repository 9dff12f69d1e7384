package cvnode

import (
	"context"
	"slices"
	"time"

	"github.com/apex/log"

	"comfreyvale"
	"comfreyvale/core/cvwire"
	"comfreyvale/io/store/cvshareddirectory"
)

const (
	// readMargin is added to a read's wait and pause to get the maximum age at which another balancer's last read still
	// counts. It covers two full messages and their network delay.
	readMargin = 1300 * time.Millisecond
	// readRetryDelay is how long a balancer whose read failed leaves reading to others. Some outages of a few seconds
	// are over by then; in a longer one, each retry costs one refused read.
	readRetryDelay = 5 * time.Second
	// maxRecentRecords is how many records of each directory are kept for other balancers: some seconds' worth at the
	// highest rate of changes.
	maxRecentRecords = 2000
	// maxRecentBytes bounds the size of the records kept of each directory.
	maxRecentBytes = 4 << 20
	// The names of the directories in messages between balancers.
	routesDirectory    = "routes"
	upstreamsDirectory = "upstreams"
)

// recentRecords holds the latest records of a directory, at consecutive offsets of one era.
type recentRecords struct {
	first   comfreyvale.Position
	records []comfreyvale.Change
	bytes   int
}

// add appends records and drops the oldest above the limits. If the records don't follow the kept ones, add drops the
// kept ones first. If full is set, the records are the complete directory: add then keeps none and expects the next
// record after them.
func (r *recentRecords) add(changes comfreyvale.Changes, full bool) {
	if full {
		*r = recentRecords{first: changes.Next()}
		return
	}
	if first := changes.Next().Plus(-len(changes.Records())); first != r.next() {
		*r = recentRecords{first: first}
	}
	for _, c := range changes.Records() {
		r.records = append(r.records, c)
		r.bytes += len(c.Value())
	}
	for len(r.records) > maxRecentRecords || r.bytes > maxRecentBytes {
		r.bytes -= len(r.records[0].Value())
		r.records = r.records[1:]
		r.first = r.first.Plus(1)
	}
}

func (r *recentRecords) next() comfreyvale.Position { return r.first.Plus(len(r.records)) }

// from returns the records from a position on, or false if they are not all kept.
func (r *recentRecords) from(position comfreyvale.Position) ([]comfreyvale.Change, bool) {
	if position.Era() != r.first.Era() || position.Before(r.first) || r.next().Before(position) {
		return nil, false
	}
	return r.records[position.Offset()-r.first.Offset():], true
}

// sharedDirectory returns a directory that one balancer of each data centre reads on behalf of the others.
func (n *Node) sharedDirectory(name string, source comfreyvale.Directory, readAt *time.Time) *cvshareddirectory.Directory {
	maxAge := n.terms().ReadWait() + n.terms().ReadPause() + readMargin
	return &cvshareddirectory.Directory{
		Source: source, Logger: n.Logger,
		IsReader: n.isReader,
		Ahead: func(now time.Time, from comfreyvale.Position) (string, bool) {
			routes, upstreams, covered := n.news.Ahead(now, maxAge, from, from)
			if name == routesDirectory {
				return routes, covered
			}
			return upstreams, covered
		},
		Fetch: func(ctx context.Context, address string, from comfreyvale.Position) (comfreyvale.Changes, error) {
			return n.fetchRecords(ctx, address, name, from)
		},
		OnRead: func(now time.Time, err error) { n.recordRead(now, name, readAt, err) },
		OnEra:  func(era int64) { n.recordEra(name, era) },
	}
}

// recordRead records the result of a read from the platform. It logs when reads start to fail and when they work again:
// otherwise failures go unnoticed, because other balancers may read on this one's behalf.
func (n *Node) recordRead(now time.Time, directory string, readAt *time.Time, err error) {
	n.mu.Lock()
	failedAt := n.readFailedAt
	if err != nil {
		n.readFailedAt = now
	} else {
		*readAt, n.readFailedAt = now, time.Time{}
	}
	n.mu.Unlock()
	entry := n.Logger.WithField("directory", directory)
	switch {
	case err != nil && failedAt.IsZero():
		entry.WithError(err).Warn("read from the platform failed")
	case err == nil && !failedAt.IsZero():
		entry.WithField("lastFailedMs", now.Sub(failedAt).Milliseconds()).Info("reads from the platform work again")
	}
}

// recordEra logs that a directory was restored from an older copy: its offsets mean other records now.
func (n *Node) recordEra(directory string, era int64) {
	n.mu.Lock()
	before, known := n.eras[directory]
	n.eras[directory] = era
	n.mu.Unlock()
	if known && before != era {
		n.Logger.WithFields(log.Fields{"directory": directory, "era": era, "eraBefore": before}).Warn("directory was restored from an older copy")
	}
}

// isReader reports whether this balancer reads the directories for its data centre.
func (n *Node) isReader(now time.Time) bool { return !n.lastReadFailed(now) && n.news.OwnsReading(now) }

// lastReadFailed reports whether this balancer's last read failed less than readRetryDelay ago.
func (n *Node) lastReadFailed(now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return now.Sub(n.readFailedAt) < readRetryDelay
}

func (n *Node) fetchRecords(ctx context.Context, address, directory string, from comfreyvale.Position) (comfreyvale.Changes, error) {
	peer, err := n.relayAddress(address)
	if err != nil {
		return comfreyvale.Changes{}, err
	}
	found, err := n.relay.FetchRecords(ctx, peer, directory, from)
	if err != nil {
		return comfreyvale.Changes{}, err
	}
	changes := make([]comfreyvale.Change, 0, len(found.GetRecords()))
	for _, r := range found.GetRecords() {
		changes = append(changes, comfreyvale.NewChange(r.GetKey(), r.GetValue(), from.Plus(len(changes)).Offset()))
	}
	return comfreyvale.NewChanges(changes, from.Plus(len(changes))), nil
}

// records returns the records that this balancer keeps from a position on.
func (n *Node) records(directory string, from comfreyvale.Position) *cvwire.DirectoryRecords {
	n.mu.Lock()
	defer n.mu.Unlock()
	recent := &n.recentUpstreams
	if directory == routesDirectory {
		recent = &n.recentRoutes
	}
	found, ok := recent.from(from)
	if directory == routesDirectory {
		found = withoutSuperseded(found)
	}
	message := &cvwire.DirectoryRecords{Kept: ok}
	for _, c := range found {
		message.Records = append(message.Records, &cvwire.DirectoryRecord{Key: c.Key(), Value: c.Value()})
	}
	return message
}

// withoutSuperseded replaces records by empty ones if a later record has the same key, so that offsets still count. Each
// configuration is complete: without this, a balancer on a narrow link would send all of a quick series to each of its
// data centre's balancers at once, and the last of them would have it seconds later.
func withoutSuperseded(records []comfreyvale.Change) []comfreyvale.Change {
	kept := slices.Clone(records)
	later := make(map[string]bool)
	for n := len(kept) - 1; n >= 0; n-- {
		if later[kept[n].Key()] {
			kept[n] = comfreyvale.NewChange("", nil, kept[n].Offset())
			continue
		}
		later[kept[n].Key()] = true
	}
	return kept
}

// addReadState adds to a full message whether, how far and how recently this balancer has read the directories.
func (n *Node) addReadState(now time.Time, message *cvwire.News) {
	age := n.readAge(now)
	message.Unreadable, message.Reading = n.lastReadFailed(now), n.isReader(now)
	n.mu.Lock()
	defer n.mu.Unlock()
	routes, upstreams := n.recentRoutes.next(), n.recentUpstreams.next()
	message.RoutesNext, message.UpstreamsNext = routes.Offset(), upstreams.Offset()
	message.RoutesEra, message.UpstreamsEra = routes.Era(), upstreams.Era()
	message.ReadAgeMs = uint32(age.Milliseconds())
}

// readAge returns the time since the older of the last reads of the two directories, at most one hour.
func (n *Node) readAge(now time.Time) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	oldest := n.routesReadAt
	if n.upstreamsReadAt.Before(oldest) {
		oldest = n.upstreamsReadAt
	}
	return min(now.Sub(oldest), time.Hour)
}
