// Package cvbodies reads the bodies of messages into a memory that all connections of a process share.
package cvbodies

import (
	"runtime/debug"
	"sync"
	"time"

	"github.com/pkg/errors"

	"comfreyvale"
	"comfreyvale/core/cvfault"
	"comfreyvale/core/cvmemory"
)

const (
	// firstChunkBytes and chunkBytes are the sizes of the parts of a body whose length is unknown or long.
	firstChunkBytes = 4 << 10
	chunkBytes      = 32 << 10
	// messageShare is the part of a machine's memory that messages may take. The rest is for the process itself, for
	// memory that was released but not collected yet, and for the buffers of the kernel.
	messageShare = 1.0 / 3
	// heapShare is the part of a machine's memory at which the garbage collector keeps the process. The rest is for the
	// buffers of the kernel and for memory that Go does not manage.
	heapShare = 0.75
)

type fault struct{ cvfault.Fault }

func fail(operation string, kind comfreyvale.Kind, cause error) error {
	return fault{cvfault.New(operation, kind, cause)}
}

// Memory is the memory that the messages of a process share. It is safe for concurrent use; set the exported field
// before the first call. The zero value has no limit.
type Memory struct {
	// OnDropped is called for each message that is dropped for lack of memory, with its kind, its sender and its size
	// so far. It may be nil.
	OnDropped func(kind, sender string, size int64, cause error)

	mu      sync.Mutex
	account cvmemory.Account
	bodies  map[int64]*body
	// free holds chunks of bodies that were never complete, so that bodies without end make no garbage.
	free [][]byte
	// scratch holds buffers of chunkBytes into which bodies are read.
	scratch sync.Pool
}

// body is a message that is being received or held. Its fields are guarded by Memory.mu.
type body struct {
	id           int64
	kind, sender string
	chunks       [][]byte
	size         int64
	// dropped is why the body is no longer held.
	dropped error
	// abort ends the transfer of the body.
	abort func()
}

// SetMachineMemory sets the limits of the messages and of the garbage collector by the memory of the machine, in bytes.
func (m *Memory) SetMachineMemory(bytes int64) {
	m.SetLimit(int64(messageShare * float64(bytes)))
	debug.SetMemoryLimit(int64(heapShare * float64(bytes)))
}

// SetLimit sets the memory for all messages, in bytes.
func (m *Memory) SetLimit(bytes int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.account.SetLimit(bytes)
}

// Limit returns the memory for all messages, in bytes.
func (m *Memory) Limit() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.account.Limit()
}

// Used returns the memory that messages of a kind take, in bytes.
func (m *Memory) Used(kind string) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.account.UsedBy(kind)
}

// Trim returns half of the chunks that are kept for reuse to the garbage collector.
func (m *Memory) Trim() {
	m.mu.Lock()
	defer m.mu.Unlock()
	kept := len(m.free) / 2
	clear(m.free[kept:])
	m.free = m.free[:kept]
}

// Holder returns a holder for the messages of one request, or for one connection, of a caller.
func (m *Memory) Holder(caller string) *Holder { return &Holder{memory: m, caller: caller} }

// endTransfers ends the transfers of bodies that were dropped, and reports the bodies. The caller does not hold the lock.
func (m *Memory) endTransfers(dropped []*body) {
	for _, b := range dropped {
		if b.abort != nil {
			b.abort()
		}
		if m.OnDropped != nil {
			m.OnDropped(b.kind, b.sender, b.size, b.dropped)
		}
	}
}

// grow reserves memory for a body. It returns the bodies that were dropped: those that were evicted for it or, with an
// error, the body itself. The caller holds the lock.
func (m *Memory) grow(b *body, bytes int64) ([]*body, error) {
	if b.dropped != nil {
		return nil, b.dropped
	}
	evicted, err := m.account.Grow(time.Now(), b.id, bytes)
	if err != nil {
		b.dropped = err
		m.drop(b)
		return []*body{b}, err
	}
	var dropped []*body
	for _, id := range evicted {
		other := m.bodies[id]
		if other == nil {
			continue
		}
		other.dropped = fail("hold", comfreyvale.KindExhausted, errors.Errorf("the body was evicted after %d bytes, for a message of %s", other.size, b.sender))
		m.drop(other)
		dropped = append(dropped, other)
	}
	return dropped, nil
}

// drop frees the memory of a body. Chunks of an incomplete body are kept for reuse, because nobody else has seen them.
// The caller holds the lock.
func (m *Memory) drop(b *body) {
	for _, c := range b.chunks {
		if cap(c) == chunkBytes {
			m.free = append(m.free, c[:0])
		}
	}
	b.chunks = nil
	m.account.Close(b.id)
	delete(m.bodies, b.id)
}

// takeChunk returns an empty chunk. The caller holds the lock.
func (m *Memory) takeChunk(size int64) []byte {
	if size == chunkBytes && len(m.free) > 0 {
		last := len(m.free) - 1
		c := m.free[last]
		m.free[last] = nil
		m.free = m.free[:last]
		return c
	}
	return make([]byte, 0, size)
}

// appendTo copies data into a body. It does so under the lock, so that the memory of an evicted body is free at once.
func (m *Memory) appendTo(b *body, data []byte) error {
	m.mu.Lock()
	dropped, err := m.appendLocked(b, data)
	m.mu.Unlock()
	m.endTransfers(dropped)
	return err
}

func (m *Memory) appendLocked(b *body, data []byte) (dropped []*body, err error) {
	if b.dropped != nil {
		return nil, b.dropped
	}
	for len(data) > 0 {
		last := len(b.chunks) - 1
		if last < 0 || len(b.chunks[last]) == cap(b.chunks[last]) {
			size := int64(chunkBytes)
			if last < 0 {
				size = firstChunkBytes
			}
			more, err := m.grow(b, size)
			dropped = append(dropped, more...)
			if err != nil {
				return dropped, err
			}
			b.chunks = append(b.chunks, m.takeChunk(size))
			last++
		}
		c := b.chunks[last]
		n := min(len(data), cap(c)-len(c))
		b.chunks[last] = append(c, data[:n]...)
		b.size += int64(n)
		data = data[n:]
	}
	return dropped, nil
}
