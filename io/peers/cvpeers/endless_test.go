package cvpeers_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/encoding/protowire"

	"comfreyvale/core/cvwire"
)

const (
	// announcedBytes is the size that a faulty peer announces for a message.
	announcedBytes = 100 << 20
	// maxTakenBytes is far below it and above what the rest of a test allocates.
	maxTakenBytes = 20 << 20
	peerTimeout   = 20 * time.Second
)

// allocated returns the bytes that this process has allocated so far.
func allocated() uint64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.TotalAlloc
}

// live returns the bytes that are in use.
func live() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// connectFaulty opens a session to an address.
func connectFaulty(t *testing.T, address string) *yamux.Session {
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	config := yamux.DefaultConfig()
	config.LogOutput = io.Discard
	session, err := yamux.Client(conn, config)
	require.NoError(t, err)
	t.Cleanup(func() { session.Close() })
	return session
}

// sendHello names a session's process.
func sendHello(t *testing.T, session *yamux.Session, process string) {
	stream, err := session.OpenStream()
	require.NoError(t, err)
	defer stream.Close()
	require.NoError(t, stream.SetDeadline(time.Now().Add(peerTimeout)))
	_, err = protodelim.MarshalTo(stream, &cvwire.PeerRequest{From: process, Request: &cvwire.PeerRequest_Hello{Hello: &cvwire.Hello{Process: process}}})
	require.NoError(t, err)
	require.NoError(t, protodelim.UnmarshalFrom(bufio.NewReader(stream), &cvwire.PeerReply{}))
}

// announce sends the size of a message and its first bytes.
func announce(t *testing.T, stream io.Writer) {
	_, err := stream.Write(append(protowire.AppendVarint(nil, announcedBytes), "beginning"...))
	require.NoError(t, err)
}

// TestAnnouncedSizes guards against memory that is taken for a message before it has arrived, as a name, a request or a
// reply.
func TestAnnouncedSizes(t *testing.T) {
	cases := map[string]func(t *testing.T, address string, call func() error){
		"a name": func(t *testing.T, address string, _ func() error) {
			stream, err := connectFaulty(t, address).OpenStream()
			require.NoError(t, err)
			announce(t, stream)
			require.NoError(t, stream.SetDeadline(time.Now().Add(peerTimeout)))
			_, err = stream.Read(make([]byte, 1))
			require.Equal(t, io.EOF, err, "the link is closed")
		},
		"a request": func(t *testing.T, address string, _ func() error) {
			session := connectFaulty(t, address)
			sendHello(t, session, "faulty")
			for range 4 {
				stream, err := session.OpenStream()
				require.NoError(t, err)
				announce(t, stream)
			}
			_, err := session.Ping()
			require.NoError(t, err)
			time.Sleep(50 * time.Millisecond)
		},
		"a reply": func(t *testing.T, address string, call func() error) {
			session := connectFaulty(t, address)
			sendHello(t, session, "faulty")
			go func() {
				stream, err := session.AcceptStream()
				if err == nil {
					announce(t, stream)
				}
			}()
			require.Error(t, call())
		},
	}
	for name, run := range cases {
		t.Run(name, func(t *testing.T) {
			p, address := newPeers(t, "b", nil)
			start(t, p)
			before := allocated()
			run(t, address, func() error {
				require.Eventually(t, func() bool { return len(p.Linked()) == 1 }, peerTimeout, time.Millisecond)
				ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
				defer cancel()
				_, err := p.Call(ctx, "faulty", &cvwire.PeerRequest{})
				return err
			})
			require.Less(t, allocated()-before, uint64(maxTakenBytes))
		})
	}
}

// TestEndlessBytes guards against a peer that sends bytes of no protocol, or frames that belong to nothing, without end:
// the link must be closed, and keep none of them.
func TestEndlessBytes(t *testing.T) {
	cases := map[string][]byte{
		"text":                bytes.Repeat([]byte("a"), 64<<10),
		"frames of no stream": bytes.Repeat(make([]byte, 12), 4<<10),
	}
	for name, block := range cases {
		t.Run(name, func(t *testing.T) {
			p, address := newPeers(t, "b", nil)
			start(t, p)
			before := live()
			conn, err := net.Dial("tcp", address)
			require.NoError(t, err)
			defer conn.Close()
			require.NoError(t, conn.SetDeadline(time.Now().Add(peerTimeout)))
			for err == nil {
				_, err = conn.Write(block)
			}
			netErr, ok := err.(net.Error)
			require.False(t, ok && netErr.Timeout(), "%v", err)
			require.Less(t, live(), before+maxTakenBytes)
		})
	}
}
