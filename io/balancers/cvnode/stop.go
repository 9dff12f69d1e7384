package cvnode

import (
	"net"
	"time"

	"github.com/apex/log"

	"comfreyvale/core/cvshutdown"
)

const (
	// stopMargin is the part of the grace period that is reserved for the exit of the process.
	stopMargin = 300 * time.Millisecond
	// answerMargin is the part before it in which the requests that have not ended get their answers.
	answerMargin = 100 * time.Millisecond
	// stopPollInterval is the interval between checks whether all requests are answered.
	stopPollInterval = 20 * time.Millisecond
)

// stop reports not ready, but accepts new connections during the notice period, until the platform has noticed. Then it
// waits for the requests in progress until the grace period is nearly over, and answers those that have not ended.
func (n *Node) stop(callers net.Listener) {
	startedAt := time.Now()
	limit := startedAt.Add(n.terms().Grace() - stopMargin)
	shutdown := cvshutdown.New(startedAt, limit.Add(-answerMargin))
	n.shutdown.Begin(startedAt, shutdown)
	n.stopping.Store(true)
	n.server.DisableKeepAlives()
	n.Logger.WithFields(log.Fields{"inFlight": n.server.InFlight(), "connections": n.server.OpenConnections()}).Info("stopping")
	time.Sleep(n.terms().Notice())
	callers.Close()
	for now := time.Now(); now.Before(limit); now = time.Now() {
		n.server.CloseIdle()
		if n.server.InFlight() == 0 && n.server.OpenConnections() == 0 {
			break
		}
		if now.After(shutdown.End()) {
			n.server.EndReceiving()
		}
		time.Sleep(stopPollInterval)
	}
	n.pool.Close()
	n.Logger.WithFields(log.Fields{"cut": n.server.InFlight(), "tookMs": time.Since(startedAt).Milliseconds()}).Info("stopped")
}
