package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in for the platform's metadata store. It holds the keyed topics that balancers read.
type store struct {
	address string

	mu      sync.Mutex
	topics  map[string]*topic
	changed chan struct{}
}

type topic struct {
	records [][]byte
	newest  map[string]int
	keys    []string
	values  map[string][]byte
}

func newStore(address string) (*store, error) {
	s := &store{address: address, topics: make(map[string]*topic), changed: make(chan struct{})}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/log-newest", s.serveNewest)
	mux.HandleFunc("GET /v1/log-read", s.serveRead)
	go http.Serve(listener, mux)
	return s, nil
}

func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: make(map[string]int), values: make(map[string][]byte)}
		s.topics[name] = t
	}
	return t
}

// put appends a record. Without a value, the key is dropped.
func (s *store) put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	if _, known := t.values[key]; !known {
		t.keys = append(t.keys, key)
	}
	t.newest[key], t.values[key] = len(t.records), value
	content := append([]byte{byte(len(key))}, key...)
	t.records = append(t.records, append(content, value...))
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(r.URL.Query().Get("topic"))
	items := []map[string]any{}
	for _, key := range t.keys {
		if value := t.values[key]; len(value) > 0 {
			items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(value), "offset": t.newest[key]})
		}
	}
	json.NewEncoder(w).Encode(map[string]any{"items": items, "more": false, "end": len(t.records)})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, _ := strconv.Atoi(query.Get("from"))
	waitMs, _ := strconv.Atoi(query.Get("waitMs"))
	timeout := time.After(time.Duration(waitMs) * time.Millisecond)
	for waiting := true; ; {
		s.mu.Lock()
		t, changed := s.topic(query.Get("topic")), s.changed
		if from > len(t.records) {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		records := t.records[from:]
		end := len(t.records)
		s.mu.Unlock()
		if len(records) > 0 || !waiting {
			body := binary.BigEndian.AppendUint64(nil, uint64(end))
			body = binary.BigEndian.AppendUint64(body, 0)
			for _, record := range records {
				body = binary.BigEndian.AppendUint32(body, uint32(len(record)))
				body = append(body, record...)
			}
			w.Write(body)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}
