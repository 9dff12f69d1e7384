package cvnode

import (
	"net"
	"time"

	"github.com/apex/log"
)

const (
	// stopMargin is what is left of the grace for the end of the process.
	stopMargin = 300 * time.Millisecond
	// stopPoll is the time between two looks whether all requests are answered.
	stopPoll = 20 * time.Millisecond
)

// stop ends in order: not ready at once, new connections until the platform has noticed, then the requests in progress.
func (n *Node) stop(callers net.Listener) {
	began := time.Now()
	n.stopping.Store(true)
	n.server.Stop()
	n.Logger.WithFields(log.Fields{"inFlight": n.server.InFlight(), "connections": n.server.Open()}).Info("stopping")
	time.Sleep(n.terms().Notice())
	callers.Close()
	limit := n.terms().Grace() - stopMargin
	for time.Since(began) < limit {
		n.server.CloseIdle()
		if n.server.InFlight() == 0 && n.server.Open() == 0 {
			break
		}
		time.Sleep(stopPoll)
	}
	n.pool.Close()
	n.Logger.WithFields(log.Fields{"cut": n.server.InFlight(), "tookMs": time.Since(began).Milliseconds()}).Info("stopped")
}
