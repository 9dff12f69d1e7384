package cvbodies_test

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"testing/iotest"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"comfreyvale"
	"comfreyvale/core/cvfault"
	"comfreyvale/core/cvmemory"
	"comfreyvale/io/balancers/cvbodies"
)

const (
	limit   = 10 << 20
	maxBody = 4 << 20
	unknown = cvmemory.UnknownLength
)

func newMemory() *cvbodies.Memory {
	m := &cvbodies.Memory{}
	m.SetLimit(limit)
	return m
}

func noAbort() {}

func content(size int) []byte {
	b := make([]byte, size)
	random := rand.NewChaCha8([32]byte{1})
	_, _ = random.Read(b)
	return b
}

// TestReceive checks that bodies arrive whole, in any parts, and that their memory is free after Close.
func TestReceive(t *testing.T) {
	sources := map[string]func(io.Reader) io.Reader{
		"at once":            func(r io.Reader) io.Reader { return r },
		"in halves":          iotest.HalfReader,
		"the end with bytes": iotest.DataErrReader,
	}
	for name, source := range sources {
		for _, size := range []int{0, 1, 4 << 10, 4<<10 + 1, 36 << 10, 36<<10 + 1, cvmemory.SmallBytes, cvmemory.SmallBytes + 1, maxBody} {
			for _, length := range []int64{unknown, int64(size)} {
				t.Run(name, func(t *testing.T) {
					m := newMemory()
					h := m.Holder("caller")
					want := content(size)
					parts, err := h.Receive(source(bytes.NewReader(want)), cvmemory.KindAnswer, "upstream", length, maxBody, noAbort)
					require.NoError(t, err)
					require.True(t, bytes.Equal(want, bytes.Join(parts, nil)))
					require.GreaterOrEqual(t, m.Used(cvmemory.KindAnswer), int64(size))
					h.Close()
					require.Zero(t, m.Used(cvmemory.KindAnswer))
				})
			}
		}
	}
}

// TestReceiveFails checks the errors of bodies that are too long, cut short or broken, and that they take no memory.
func TestReceiveFails(t *testing.T) {
	broken := errors.New("broken")
	cases := map[string]struct {
		source io.Reader
		length int64
		kind   comfreyvale.Kind
		cause  error
	}{
		"a length beyond the limit": {iotest.ErrReader(errors.New("was read")), maxBody + 1, comfreyvale.KindLimited, nil},
		"longer than the limit":     {bytes.NewReader(content(maxBody + 1)), unknown, comfreyvale.KindLimited, nil},
		"cut short":                 {bytes.NewReader(content(10)), 11, "", io.ErrUnexpectedEOF},
		"empty":                     {bytes.NewReader(nil), 11, "", io.ErrUnexpectedEOF},
		"broken":                    {io.MultiReader(bytes.NewReader(content(1<<20)), iotest.ErrReader(broken)), unknown, "", broken},
		"broken and short":          {iotest.ErrReader(broken), 11, "", broken},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			m := newMemory()
			h := m.Holder("caller")
			parts, err := h.Receive(c.source, cvmemory.KindRequest, "caller", c.length, maxBody, noAbort)
			require.Nil(t, parts)
			require.Error(t, err)
			require.Equal(t, c.kind, cvfault.KindOf(err))
			if c.cause != nil {
				require.ErrorIs(t, err, c.cause)
			}
			require.Zero(t, m.Used(cvmemory.KindRequest))
		})
	}
}

// TestEndlessBodyIsEvicted checks that a body without end is evicted for a smaller one: its transfer ends, its memory is
// free at once, and the other body arrives whole.
func TestEndlessBodyIsEvicted(t *testing.T) {
	m := newMemory()
	var dropped []string
	m.OnDropped = func(kind, sender string, _ int64, cause error) {
		dropped = append(dropped, kind+" "+sender+" "+string(cvfault.KindOf(cause)))
	}
	endless := m.Holder("a")
	defer endless.Close()
	reader, writer := net.Pipe()
	failed := make(chan error, 1)
	go func() {
		_, err := endless.Receive(reader, cvmemory.KindAnswer, "bad", unknown, maxBody, func() { reader.Close() })
		failed <- err
	}()
	block := content(1 << 20)
	for range maxBody / len(block) {
		_, err := writer.Write(block)
		require.NoError(t, err)
	}
	second := m.Holder("b")
	defer second.Close()
	parts, err := second.Receive(bytes.NewReader(content(maxBody-1)), cvmemory.KindAnswer, "sound", maxBody-1, maxBody, noAbort)
	require.NoError(t, err)
	require.Equal(t, content(maxBody-1), bytes.Join(parts, nil))
	err = <-failed
	require.Equal(t, comfreyvale.KindExhausted, cvfault.KindOf(err))
	require.ErrorContains(t, err, "was evicted")
	require.Equal(t, []string{"answer bad exhausted"}, dropped)
	_, err = writer.Write(block)
	require.ErrorIs(t, err, io.ErrClosedPipe)
}

// TestSlowCallerIsEvicted checks that an answer whose caller has been receiving it for long is evicted for another one,
// and that its transfer is ended.
func TestSlowCallerIsEvicted(t *testing.T) {
	m := newMemory()
	slow, busy := m.Holder("a"), m.Holder("b")
	for _, h := range []*cvbodies.Holder{slow, busy} {
		_, err := h.Receive(bytes.NewReader(content(3<<20)), cvmemory.KindAnswer, "u", unknown, maxBody, noAbort)
		require.NoError(t, err)
	}
	aborted := false
	slow.Sending(time.Now().Add(-3*time.Second), func() { aborted = true })
	other := m.Holder("c")
	_, err := other.Receive(bytes.NewReader(content(2<<20)), cvmemory.KindAnswer, "u", 2<<20, maxBody, noAbort)
	require.NoError(t, err)
	require.True(t, aborted)
}

// TestReservedMemory checks that the memory of connections counts, and is refused if there is none.
func TestReservedMemory(t *testing.T) {
	m := newMemory()
	h := m.Holder("caller")
	count := 0
	for h.Reserve(cvmemory.KindConnection, "caller", 64<<10) == nil {
		count++
	}
	require.Equal(t, limit/(64<<10), count)
	h.Close()
	require.Zero(t, m.Used(cvmemory.KindConnection))
	require.Equal(t, comfreyvale.KindExhausted, cvfault.KindOf(h.Reserve(cvmemory.KindConnection, "caller", 1)))
}

// TestBodiesStayWhole guards against chunks that are used again while somebody still reads them: bodies that are dropped
// at random must not change those that were received.
func TestBodiesStayWhole(t *testing.T) {
	m := newMemory()
	want := content(1 << 20)
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			for range 20 {
				h := m.Holder("sound")
				parts, err := h.Receive(iotest.HalfReader(bytes.NewReader(want)), cvmemory.KindAnswer, "u", unknown, maxBody, noAbort)
				if err == nil && !bytes.Equal(want, bytes.Join(parts, nil)) {
					t.Error("a body was changed")
				}
				h.Close()
				if err == nil && !bytes.Equal(want, bytes.Join(parts, nil)) {
					t.Error("a body was changed after Close")
				}
				m.Trim()
			}
		})
		group.Go(func() {
			garbage := bytes.Repeat([]byte{0xFF}, maxBody+1)
			for range 20 {
				h := m.Holder("bad")
				_, err := h.Receive(bytes.NewReader(garbage), cvmemory.KindAnswer, "u", unknown, maxBody, noAbort)
				if err == nil {
					t.Error("a body beyond the limit was accepted")
				}
				h.Close()
			}
		})
	}
	group.Wait()
	require.Zero(t, m.Used(cvmemory.KindAnswer))
}
