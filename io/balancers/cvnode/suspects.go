package cvnode

import (
	"context"
	"fmt"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"

	"comfreyvale/core/cvinstance"
	"comfreyvale/core/cvrequest"
	"comfreyvale/core/cvwire"
	"comfreyvale/io/upstreams/cvslots"
)

const (
	// quarantineTime is how long a request that crashed two upstreams is refused: longer than callers go on sending it.
	quarantineTime = time.Minute
	// confirmDelay is how long after a broken connection the upstream is looked at: a process that dies closes all of its
	// sockets within that.
	confirmDelay = 20 * time.Millisecond
	// toldTime is for how long a death is told to the other balancers, in several messages that may be lost.
	toldTime = 2 * time.Second
	// sameDeath is how far two reports of one upstream's death may be apart.
	sameDeath = 2 * time.Second
)

// death is an upstream that crashed while it ran a request.
type death struct {
	fingerprint uint64
	upstream    uint32
}

// fingerprint stands for all requests that are the same to an upstream.
func fingerprint(m *cvrequest.Request) uint64 {
	digest := xxhash.New()
	for _, part := range []string{m.Method(), m.Host(), m.Target()} {
		// A digest takes all that is written to it.
		_, _ = fmt.Fprintf(digest, "%d:%s", len(part), part)
	}
	_, _ = digest.Write(m.Body())
	return digest.Sum64()
}

func subject(fingerprint uint64) string { return fmt.Sprintf("%016x", fingerprint) }

// quarantined says whether a request must not be run, because upstreams crashed on it.
func (n *Node) quarantined(now time.Time, m *cvrequest.Request) (evidence string, quarantined bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.quarantine.Len() == 0 {
		return "", false
	}
	return n.quarantine.Quarantined(now, subject(fingerprint(m)))
}

// suspect looks whether an upstream crashed when its connection broke under a request. One that refuses connections did;
// one that only broke the connection did not.
func (n *Node) suspect(instance *cvinstance.Instance, m *cvrequest.Request) {
	time.Sleep(confirmDelay)
	if n.pool.Listens(context.Background(), instance) {
		return
	}
	n.died(time.Now(), death{fingerprint: fingerprint(m), upstream: cvslots.Hash(instance.ID())}, m.ID())
}

// died notes a death, unless it is known.
func (n *Node) died(at time.Time, d death, request string) {
	n.mu.Lock()
	known, ok := n.deaths[d]
	if ok && at.Sub(known).Abs() < sameDeath {
		n.mu.Unlock()
		return
	}
	n.deaths[d] = at
	convicted := n.quarantine.RecordCrash(at, subject(d.fingerprint), fmt.Sprintf("%08x", d.upstream), quarantineTime)
	n.mu.Unlock()
	n.Logger.WithFields(log.Fields{"request": request, "fingerprint": subject(d.fingerprint), "upstreamHash": d.upstream, "quarantined": convicted}).Warn("upstream crashed under a request")
}

// settled notes that a request ran to its end, so that a crash beside it was not its doing.
func (n *Node) settled(now time.Time, m *cvrequest.Request) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.quarantine.Len() > 0 {
		n.quarantine.RecordCompletion(now, subject(fingerprint(m)))
	}
}

// tellDeaths puts the deaths of late into a message.
func (n *Node) tellDeaths(now time.Time, message *cvwire.News) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for d, at := range n.deaths {
		if age := now.Sub(at); age < toldTime {
			message.Suspects = append(message.Suspects, &cvwire.Suspect{Fingerprint: d.fingerprint, Upstream: d.upstream, AgeMs: uint32(max(age, 0).Milliseconds())})
		}
	}
}

// hearDeaths takes the deaths that another balancer tells of.
func (n *Node) hearDeaths(now time.Time, message *cvwire.News) {
	for _, s := range message.GetSuspects() {
		n.died(now.Add(-time.Duration(s.GetAgeMs())*time.Millisecond), death{fingerprint: s.GetFingerprint(), upstream: s.GetUpstream()}, "")
	}
}

// forgetDeaths drops what is old.
func (n *Node) forgetDeaths(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.quarantine.Expire(now)
	for d, at := range n.deaths {
		if now.Sub(at) > quarantineTime {
			delete(n.deaths, d)
		}
	}
}
