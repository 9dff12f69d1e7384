package cvpeers

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"comfreyvale/core/cvwire"
	"comfreyvale/io/operators/cvmetrics"
)

const (
	// maxMessageBytes is the maximum size of a received message.
	maxMessageBytes = 128 << 20
	// readBufferBytes is the size of a stream's read buffer in bytes.
	readBufferBytes = 4 << 10
)

// link is a session with one peer. Requests without a reply share one long-lived stream. Each request with a reply
// opens a separate stream.
type link struct {
	session *yamux.Session

	mu     sync.Mutex
	oneWay *yamux.Stream
}

// reader reads length-delimited messages from a stream.
type reader struct {
	buffered *bufio.Reader
}

func newReader(stream io.Reader) *reader {
	return &reader{buffered: bufio.NewReaderSize(stream, readBufferBytes)}
}

func (r *reader) read(message proto.Message) error {
	return protodelim.UnmarshalOptions{MaxSize: maxMessageBytes}.UnmarshalFrom(r.buffered, message)
}

// write writes a length-delimited message to a stream.
func write(stream io.Writer, message proto.Message) error {
	_, err := protodelim.MarshalTo(stream, message)
	return err
}

// call sends a request over a new stream and returns the reply.
func (l *link) call(ctx context.Context, request *cvwire.PeerRequest) (*cvwire.PeerReply, error) {
	stream, err := l.session.OpenStream()
	if err != nil {
		return nil, err
	}
	defer stream.Close()
	stop := context.AfterFunc(ctx, func() { stream.SetDeadline(time.Now()) })
	defer stop()
	if err := write(stream, request); err != nil {
		return nil, err
	}
	reply := &cvwire.PeerReply{}
	return reply, newReader(stream).read(reply)
}

// send sends a request without a reply over the shared stream.
func (l *link) send(request *cvwire.PeerRequest) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.oneWay == nil {
		stream, err := l.session.OpenStream()
		if err != nil {
			return err
		}
		l.oneWay = stream
	}
	l.oneWay.SetWriteDeadline(time.Now().Add(writeTimeout))
	return write(l.oneWay, request)
}

// sendHello sends the name of this process over a link that it opened, and returns the peer's name.
func sendHello(session *yamux.Session, process string) (string, error) {
	stream, err := session.OpenStream()
	if err != nil {
		return "", err
	}
	defer stream.Close()
	stream.SetDeadline(time.Now().Add(writeTimeout))
	hello := &cvwire.Hello{Process: process}
	if err := write(stream, &cvwire.PeerRequest{From: process, Request: &cvwire.PeerRequest_Hello{Hello: hello}}); err != nil {
		return "", err
	}
	reply := &cvwire.PeerReply{}
	if err := newReader(stream).read(reply); err != nil {
		return "", err
	}
	return reply.GetHello().GetProcess(), nil
}

// receiveHello receives the name of the peer that opened a link, sends the name of this process, and returns the peer's
// name.
func receiveHello(session *yamux.Session, process string) (string, error) {
	stream, err := session.AcceptStream()
	if err != nil {
		return "", err
	}
	defer stream.Close()
	stream.SetDeadline(time.Now().Add(writeTimeout))
	request := &cvwire.PeerRequest{}
	if err := newReader(stream).read(request); err != nil {
		return "", err
	}
	if request.GetHello().GetProcess() == "" {
		return "", errors.New("peer sent an empty process name")
	}
	hello := &cvwire.Hello{Process: process}
	return request.GetHello().GetProcess(), write(stream, &cvwire.PeerReply{Reply: &cvwire.PeerReply_Hello{Hello: hello}})
}

// countingConn is a connection that counts the bytes read and written.
type countingConn struct {
	net.Conn
	metrics *cvmetrics.Metrics
}

// Read reads from the connection and counts the bytes.
func (c *countingConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	c.metrics.AddPeerBytes("in", n)
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c *countingConn) Write(buffer []byte) (int, error) {
	n, err := c.Conn.Write(buffer)
	c.metrics.AddPeerBytes("out", n)
	return n, err
}
