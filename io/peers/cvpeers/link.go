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
	// maxMessageBytes is the size of the largest message.
	maxMessageBytes = 128 << 20
	// readBuffer is the size of a stream's read buffer.
	readBuffer = 4 << 10
)

// link is a session with one peer. News go over one lasting stream, each request over a stream of its own.
type link struct {
	session *yamux.Session

	mu   sync.Mutex
	news *yamux.Stream
}

// reader reads messages from a stream.
type reader struct {
	buffered *bufio.Reader
}

func newReader(stream io.Reader) *reader {
	return &reader{buffered: bufio.NewReaderSize(stream, readBuffer)}
}

func (r *reader) read(message proto.Message) error {
	return protodelim.UnmarshalOptions{MaxSize: maxMessageBytes}.UnmarshalFrom(r.buffered, message)
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
	return reply, newReader(stream).read(reply)
}

func (l *link) tell(request *cvwire.PeerRequest) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.news == nil {
		stream, err := l.session.OpenStream()
		if err != nil {
			return err
		}
		l.news = stream
	}
	l.news.SetWriteDeadline(time.Now().Add(writeTime))
	return write(l.news, request)
}

// greet says who opens a link and learns who took it.
func greet(session *yamux.Session, process string) (string, error) {
	stream, err := session.OpenStream()
	if err != nil {
		return "", err
	}
	defer stream.Close()
	stream.SetDeadline(time.Now().Add(writeTime))
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

// greeted learns who opened a link and says who took it.
func greeted(session *yamux.Session, process string) (string, error) {
	stream, err := session.AcceptStream()
	if err != nil {
		return "", err
	}
	defer stream.Close()
	stream.SetDeadline(time.Now().Add(writeTime))
	request := &cvwire.PeerRequest{}
	if err := newReader(stream).read(request); err != nil {
		return "", err
	}
	if request.GetHello().GetProcess() == "" {
		return "", errors.New("the peer did not name itself")
	}
	hello := &cvwire.Hello{Process: process}
	return request.GetHello().GetProcess(), write(stream, &cvwire.PeerReply{Reply: &cvwire.PeerReply_Hello{Hello: hello}})
}

// counted is a connection whose bytes are counted.
type counted struct {
	net.Conn
	metrics *cvmetrics.Metrics
}

// Read reads and counts.
func (c *counted) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	c.metrics.PeerBytes("in", n)
	return n, err
}

// Write writes and counts.
func (c *counted) Write(buffer []byte) (int, error) {
	n, err := c.Conn.Write(buffer)
	c.metrics.PeerBytes("out", n)
	return n, err
}
