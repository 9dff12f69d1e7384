package cvbodies

import (
	"io"
	"time"

	"github.com/pkg/errors"

	"comfreyvale"
	"comfreyvale/core/cvmemory"
)

// errClosed means that the request is over to which a body belongs.
var errClosed = fail("hold", comfreyvale.KindExhausted, errors.New("the request is over"))

// Holder holds the memory of one request: of its body and of the answers to it, whether they are used or not. It is safe
// for concurrent use.
type Holder struct {
	memory *Memory
	caller string
	// bodies and closed are guarded by Memory.mu.
	bodies []*body
	closed bool
}

// Reserve takes memory that is not a body, such as the buffers of a connection, until Close. The error has KindExhausted
// if there is too little.
func (h *Holder) Reserve(kind, sender string, bytes int64) error {
	b, err := h.open(kind, sender, bytes, nil)
	if err != nil {
		return err
	}
	if err := h.reserve(b, bytes); err != nil {
		return err
	}
	_, err = h.complete(b)
	return err
}

// Receive reads a body to its end and returns its parts, which are valid also after Close. The length is that which the
// sender has told, or cvmemory.UnknownLength. abort must make reads from the source return soon. The error has
// KindLimited if the body is longer than the limit, KindExhausted if there is too little memory, and is otherwise that
// of the source.
func (h *Holder) Receive(source io.Reader, kind, sender string, length, limit int64, abort func()) ([][]byte, error) {
	if length > limit {
		return nil, tooLong(limit)
	}
	b, err := h.open(kind, sender, length, abort)
	if err != nil {
		return nil, err
	}
	if length != cvmemory.UnknownLength && length <= cvmemory.SmallBytes {
		return h.receiveSmall(source, b, length)
	}
	parts, err := h.receiveParts(source, b, limit)
	if err != nil {
		h.discard(b)
	}
	return parts, err
}

func tooLong(limit int64) error {
	return fail("receive", comfreyvale.KindLimited, errors.Errorf("the body is longer than %d bytes", limit))
}

func (h *Holder) receiveSmall(source io.Reader, b *body, length int64) ([][]byte, error) {
	if err := h.reserve(b, length); err != nil {
		return nil, err
	}
	content := make([]byte, length)
	if _, err := io.ReadFull(source, content); err != nil {
		h.discard(b)
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return nil, err
	}
	if _, err := h.complete(b); err != nil {
		return nil, err
	}
	return [][]byte{content}, nil
}

func (h *Holder) receiveParts(source io.Reader, b *body, limit int64) ([][]byte, error) {
	scratch, ok := h.memory.scratch.Get().(*[]byte)
	if !ok {
		fresh := make([]byte, chunkBytes)
		scratch = &fresh
	}
	defer h.memory.scratch.Put(scratch)
	for total := int64(0); ; {
		n, err := source.Read(*scratch)
		if total += int64(n); total > limit {
			return nil, tooLong(limit)
		}
		if appendErr := h.memory.appendTo(b, (*scratch)[:n]); appendErr != nil {
			return nil, appendErr
		}
		if err == io.EOF {
			return h.complete(b)
		}
		if err != nil {
			return nil, h.cause(b, err)
		}
	}
}

// open adds a body to the account.
func (h *Holder) open(kind, sender string, length int64, abort func()) (*body, error) {
	m := h.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	if h.closed {
		return nil, errClosed
	}
	b := &body{id: m.account.Open(kind, h.caller, length), kind: kind, sender: sender, abort: abort}
	if m.bodies == nil {
		m.bodies = make(map[int64]*body)
	}
	m.bodies[b.id] = b
	h.bodies = append(h.bodies, b)
	return b, nil
}

// reserve takes all memory of a body at once.
func (h *Holder) reserve(b *body, bytes int64) error {
	m := h.memory
	m.mu.Lock()
	dropped, err := m.grow(b, bytes)
	if err == nil {
		b.size = bytes
	}
	m.mu.Unlock()
	m.endTransfers(dropped)
	return err
}

// complete returns the parts of a body unless it was dropped.
func (h *Holder) complete(b *body) ([][]byte, error) {
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	if b.dropped != nil {
		return nil, b.dropped
	}
	h.memory.account.Complete(b.id)
	parts := b.chunks
	// The chunks belong to the receiver now and must not be reused.
	b.chunks = nil
	return parts, nil
}

// cause returns why a body was dropped, or the error of its source if it was not.
func (h *Holder) cause(b *body, err error) error {
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	if b.dropped != nil {
		return b.dropped
	}
	return err
}

func (h *Holder) discard(b *body) {
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	if b.dropped == nil {
		b.dropped = errClosed
		h.memory.drop(b)
	}
}

// Sending records that the caller begins to receive the answer. If other messages need its memory later, abort is called,
// which must end the transfer.
func (h *Holder) Sending(now time.Time, abort func()) {
	m := h.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, b := range h.bodies {
		if b.kind == cvmemory.KindAnswer {
			b.abort = abort
			m.account.Sending(now, b.id)
		}
	}
}

// Close frees the memory and drops bodies that are still being received. Only the first call has an effect.
func (h *Holder) Close() {
	m := h.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	h.closed = true
	for _, b := range h.bodies {
		if b.dropped == nil {
			b.dropped = errClosed
			m.drop(b)
		}
	}
	h.bodies = nil
}
