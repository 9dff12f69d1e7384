package cvnews_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"comfreyvale/core/cvwire"
	"comfreyvale/io/peers/cvnews"
)

// balancer is one that tells a figure and keeps what it heard.
type balancer struct {
	news *cvnews.News
	stop context.CancelFunc
	done chan error

	mu    sync.Mutex
	tells uint32
	heard map[uint32]uint32
}

func (b *balancer) fill(_ time.Time, message *cvwire.News, _, _ bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	message.Upstreams = []uint32{b.tells}
	message.InFlight = []uint32{b.tells}
	message.Version = int64(b.tells)
}

func (b *balancer) hear(_ time.Time, message *cvwire.News) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, u := range message.GetUpstreams() {
		b.heard[u] = message.GetInFlight()[i]
	}
}

func (b *balancer) knows(figure uint32) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.heard[figure] == figure
}

// start runs balancers at loopback addresses of their own, all at one port; each knows the first alone.
func start(t *testing.T, count int) []*balancer {
	l, err := net.ListenPacket("udp4", "0.0.0.0:0")
	require.NoError(t, err)
	port := l.LocalAddr().(*net.UDPAddr).Port
	l.Close()
	at := func(n int) string { return fmt.Sprintf("127.0.2.%d:%d", n+1, port) }
	var all []*balancer
	for n := range count {
		b := &balancer{done: make(chan error, 1), tells: uint32(n + 1), heard: make(map[uint32]uint32)}
		b.news = &cvnews.News{
			Address: at(n), DataCentre: fmt.Sprint("dc", n%2), Seeds: func() []string { return []string{at(0)} },
			Fill: b.fill, Heard: b.hear, Logger: &log.Logger{Handler: discard.Default},
		}
		ctx, cancel := context.WithCancel(context.Background())
		b.stop = cancel
		go func() { b.done <- b.news.Run(ctx) }()
		all = append(all, b)
	}
	return all
}

// TestMeet has balancers that know one of them meet all others, hear all of them, and notice one that is gone.
func TestMeet(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	const count = 4
	all := start(t, count)
	defer func() {
		for _, b := range all {
			b.stop()
		}
		for _, b := range all {
			require.NoError(t, <-b.done)
		}
	}()
	for _, b := range all {
		require.Eventually(t, func() bool { return len(b.news.Live()) == count-1 }, 30*time.Second, 5*time.Millisecond)
		for figure := uint32(1); figure <= count; figure++ {
			require.Eventually(t, func() bool { return figure == b.tells || b.knows(figure) }, 30*time.Second, 5*time.Millisecond)
		}
	}
	address, version := all[0].news.Newest()
	require.Equal(t, int64(count), version)
	require.Equal(t, all[count-1].news.Address, address)
	all[count-1].stop()
	err := <-all[count-1].done
	all[count-1].done <- err
	require.NoError(t, err)
	for _, b := range all[:count-1] {
		require.Eventually(t, func() bool { return len(b.news.Live()) == count-2 }, 30*time.Second, 5*time.Millisecond)
	}
}

// TestForeignBytes passes over datagrams that are no news.
func TestForeignBytes(t *testing.T) {
	all := start(t, 1)
	defer func() {
		all[0].stop()
		require.NoError(t, <-all[0].done)
	}()
	conn, err := net.Dial("udp4", all[0].news.Address)
	require.NoError(t, err)
	defer conn.Close()
	for range 20 {
		_, _ = conn.Write([]byte("\xff\xff\xff no news"))
		time.Sleep(10 * time.Millisecond)
	}
	require.Empty(t, all[0].news.Live())
}
