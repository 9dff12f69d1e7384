package cvnode

import (
	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"

	"comfreyvale"
	"comfreyvale/core/cvprintable"
)

const (
	// maxIgnoredRecords limits the invalid records that are remembered. Beyond it, none is logged.
	maxIgnoredRecords = 1000
	// maxLoggedKeyBytes limits an invalid key or header in a log line.
	maxLoggedKeyBytes = 40
)

type recordKey struct{ directory, key string }

// ignoredRecords holds the invalid records that were logged, so that each is logged once however often it is read. It is
// not safe for concurrent use.
type ignoredRecords map[recordKey]uint64

// add reports whether an invalid record must be logged.
func (r ignoredRecords) add(directory string, change comfreyvale.Change) bool {
	key, content := recordKey{directory, change.Key()}, xxhash.Sum64(change.Value())
	known, ok := r[key]
	if (ok && known == content) || (!ok && len(r) >= maxIgnoredRecords) {
		return false
	}
	r[key] = content
	return true
}

// forget removes the invalid record of a key, which has a valid one now.
func (r ignoredRecords) forget(directory, key string) { delete(r, recordKey{directory, key}) }

// withoutInvalidKeys replaces records whose key is no printable text by records without key and value: they cannot be
// passed on to other balancers, but their offsets count.
func (n *Node) withoutInvalidKeys(directory string, changes comfreyvale.Changes) comfreyvale.Changes {
	records := make([]comfreyvale.Change, 0, len(changes.Records()))
	for _, c := range changes.Records() {
		if c.Key() != "" && !cvprintable.IsName(c.Key()) {
			n.logInvalidKey(directory, c)
			c = comfreyvale.NewChange("", nil, c.Offset())
		}
		records = append(records, c)
	}
	return comfreyvale.NewChanges(records, changes.Next())
}

func (n *Node) logInvalidKey(directory string, change comfreyvale.Change) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ignored.add(directory, change) {
		fields := log.Fields{"directory": directory, "key": cvprintable.Shorten(change.Key(), maxLoggedKeyBytes), "offset": change.Offset()}
		n.Logger.WithFields(fields).Warn("ignored a record whose key is no printable text")
	}
}
