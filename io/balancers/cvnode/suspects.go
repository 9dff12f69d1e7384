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
	// quarantineDuration is how long a request that crashed two upstreams is refused: longer than callers resend it.
	quarantineDuration = time.Minute
	// crashCheckDelay is the delay between a broken connection and the check whether the upstream still listens. A
	// process that dies closes all of its sockets within this time.
	crashCheckDelay = 20 * time.Millisecond
	// crashReportTime is how long a crash is reported to the other balancers, in several messages, as some may be lost.
	crashReportTime = 2 * time.Second
	// sameCrashWindow is the maximum time between two reports of the same crash.
	sameCrashWindow = 2 * time.Second
)

// crash identifies a request and the upstream that crashed while running it.
type crash struct {
	fingerprint uint64
	upstream    uint32
}

// fingerprint returns the same hash for requests that are the same to an upstream.
func fingerprint(m *cvrequest.Request) uint64 {
	digest := xxhash.New()
	for _, part := range []string{m.Method(), m.Host(), m.Target()} {
		// Writes to a digest never fail.
		_, _ = fmt.Fprintf(digest, "%d:%s", len(part), part)
	}
	for _, part := range m.Parts() {
		_, _ = digest.Write(part)
	}
	return digest.Sum64()
}

func formatFingerprint(fingerprint uint64) string { return fmt.Sprintf("%016x", fingerprint) }

// quarantined reports whether a request must not be run because upstreams crashed on it, and returns the evidence.
func (n *Node) quarantined(now time.Time, m *cvrequest.Request) (evidence string, quarantined bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.quarantine.Len() == 0 {
		return "", false
	}
	return n.quarantine.Quarantined(now, formatFingerprint(fingerprint(m)))
}

// checkCrash checks an upstream whose connection broke during a request. If it refuses new connections, it has crashed.
func (n *Node) checkCrash(instance *cvinstance.Instance, m *cvrequest.Request) {
	time.Sleep(crashCheckDelay)
	if n.pool.AcceptsConnections(context.Background(), instance) {
		return
	}
	n.recordCrash(time.Now(), crash{fingerprint: fingerprint(m), upstream: cvslots.Hash(instance.ID())}, m.ID())
}

// recordCrash records a crash unless it is already known.
func (n *Node) recordCrash(at time.Time, c crash, request string) {
	n.mu.Lock()
	knownAt, ok := n.crashes[c]
	if ok && at.Sub(knownAt).Abs() < sameCrashWindow {
		n.mu.Unlock()
		return
	}
	n.crashes[c] = at
	quarantined := n.quarantine.RecordCrash(at, formatFingerprint(c.fingerprint), fmt.Sprintf("%08x", c.upstream), quarantineDuration)
	n.mu.Unlock()
	n.Logger.WithFields(log.Fields{"request": request, "fingerprint": formatFingerprint(c.fingerprint), "upstreamHash": c.upstream, "quarantined": quarantined}).Warn("upstream crashed while it ran a request")
}

// recordCompletion keeps a completed request from being blamed for a crash that occurred while it ran.
func (n *Node) recordCompletion(now time.Time, m *cvrequest.Request) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.quarantine.Len() > 0 {
		n.quarantine.RecordCompletion(now, formatFingerprint(fingerprint(m)))
	}
}

func (n *Node) addCrashes(now time.Time, message *cvwire.News) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c, at := range n.crashes {
		if age := now.Sub(at); age < crashReportTime {
			message.Suspects = append(message.Suspects, &cvwire.Suspect{Fingerprint: c.fingerprint, Upstream: c.upstream, AgeMs: uint32(max(age, 0).Milliseconds())})
		}
	}
}

func (n *Node) receiveCrashes(now time.Time, message *cvwire.News) {
	for _, s := range message.GetSuspects() {
		n.recordCrash(now.Add(-time.Duration(s.GetAgeMs())*time.Millisecond), crash{fingerprint: s.GetFingerprint(), upstream: s.GetUpstream()}, "")
	}
}

// expireCrashes removes crashes older than quarantineDuration, and outdated suspects and quarantines.
func (n *Node) expireCrashes(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.quarantine.Expire(now)
	for c, at := range n.crashes {
		if now.Sub(at) > quarantineDuration {
			delete(n.crashes, c)
		}
	}
}
