package main

import (
	"encoding/binary"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in for the platform's store. It serves the newest records and long polls of keyed topics, as the page
// PROTOCOL says, and never fails.
type store struct {
	mu      sync.Mutex
	topics  map[string]*topic
	changed chan struct{}
}

type topic struct {
	records []record
	newest  map[string]int
	keys    []string
}

type record struct {
	key   string
	value []byte
}

func startStore(listen string) (*store, string, error) {
	s := &store{topics: make(map[string]*topic), changed: make(chan struct{})}
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, "", err
	}
	go func() { _ = http.Serve(listener, s) }()
	return s, listener.Addr().String(), nil
}

// put appends a record to a topic. A record without a value removes the key.
func (s *store) put(name, key string, value any) {
	var content []byte
	if value != nil {
		content, _ = json.Marshal(value)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	if _, known := t.newest[key]; !known {
		t.keys = append(t.keys, key)
	}
	t.newest[key] = len(t.records)
	t.records = append(t.records, record{key, content})
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: make(map[string]int)}
		s.topics[name] = t
	}
	return t
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/v1/log-newest":
		s.serveNewest(w, r)
	case "/v1/log-read":
		s.serveRead(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int    `json:"offset"`
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(r.URL.Query().Get("topic"))
	items := []item{}
	for _, key := range t.keys {
		offset := t.newest[key]
		if value := t.records[offset].value; len(value) > 0 {
			items = append(items, item{key, value, offset})
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "more": false, "end": len(t.records)})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, _ := strconv.Atoi(query.Get("from"))
	waitMs, _ := strconv.Atoi(query.Get("waitMs"))
	timeout := time.After(time.Duration(waitMs) * time.Millisecond)
	for waiting := true; waiting; {
		s.mu.Lock()
		ready, changed := len(s.topic(query.Get("topic")).records) > from, s.changed
		s.mu.Unlock()
		if ready {
			break
		}
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(query.Get("topic"))
	body := binary.BigEndian.AppendUint64(nil, uint64(len(t.records)))
	body = binary.BigEndian.AppendUint64(body, 0)
	for _, found := range t.records[min(from, len(t.records)):] {
		body = binary.BigEndian.AppendUint32(body, uint32(1+len(found.key)+len(found.value)))
		body = append(body, byte(len(found.key)))
		body = append(body, found.key...)
		body = append(body, found.value...)
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(body)
}
