package cvpeers

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
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
	// maxMessageBytes limits received messages, and maxHelloBytes those with the name of a process.
	maxMessageBytes = 128 << 20
	maxHelloBytes   = 4 << 10
	readBufferBytes = 4 << 10
)

// link is a session with one peer. Requests without a reply share one long-lived stream; each other request opens a new
// stream.
type link struct {
	session *yamux.Session

	mu     sync.Mutex
	oneWay *yamux.Stream
}

// reader reads messages up to a size.
type reader struct {
	buffered *bufio.Reader
	maxBytes uint64
}

func newReader(stream io.Reader, maxBytes uint64) *reader {
	return &reader{buffered: bufio.NewReaderSize(stream, readBufferBytes), maxBytes: maxBytes}
}

// read takes memory only for bytes that have arrived: protodelim takes it for the announced size.
func (r *reader) read(message proto.Message) error {
	size, err := binary.ReadUvarint(r.buffered)
	if err != nil {
		return err
	}
	if size > r.maxBytes {
		return errors.Errorf("a message of %d bytes is longer than %d", size, r.maxBytes)
	}
	var content bytes.Buffer
	if _, err := io.CopyN(&content, r.buffered, int64(size)); err != nil {
		return err
	}
	return proto.Unmarshal(content.Bytes(), message)
}

func write(stream io.Writer, message proto.Message) error {
	_, err := protodelim.MarshalTo(stream, message)
	return err
}

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
	return reply, newReader(stream, maxMessageBytes).read(reply)
}

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

// sendHello exchanges process names over a link that this process opened, and returns the peer's name.
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
	if err := newReader(stream, maxHelloBytes).read(reply); err != nil {
		return "", err
	}
	return reply.GetHello().GetProcess(), nil
}

// receiveHello exchanges process names over a link that the peer opened, and returns the peer's name.
func receiveHello(session *yamux.Session, process string) (string, error) {
	stream, err := session.AcceptStream()
	if err != nil {
		return "", err
	}
	defer stream.Close()
	stream.SetDeadline(time.Now().Add(writeTimeout))
	request := &cvwire.PeerRequest{}
	if err := newReader(stream, maxHelloBytes).read(request); err != nil {
		return "", err
	}
	if request.GetHello().GetProcess() == "" {
		return "", errors.New("peer sent an empty process name")
	}
	hello := &cvwire.Hello{Process: process}
	return request.GetHello().GetProcess(), write(stream, &cvwire.PeerReply{Reply: &cvwire.PeerReply_Hello{Hello: hello}})
}

type countingConn struct {
	net.Conn
	metrics *cvmetrics.Metrics
}

func (c *countingConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	c.metrics.AddPeerBytes("in", n)
	return n, err
}

func (c *countingConn) Write(buffer []byte) (int, error) {
	n, err := c.Conn.Write(buffer)
	c.metrics.AddPeerBytes("out", n)
	return n, err
}
