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

// storeDelay is the time of one answer of the store, as on the users' page.
const storeDelay = 4 * time.Millisecond

// store is a stand-in for the platform's store: the two keyed topics that balancers read.
type store struct {
	mu      sync.Mutex
	topics  map[string]*topic
	changed chan struct{}
	server  *http.Server
	address string
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

func newStore() (*store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{topics: make(map[string]*topic), changed: make(chan struct{}), address: listener.Addr().String()}
	for _, name := range []string{"keyed.op", "keyed.servers"} {
		s.topics[name] = &topic{newest: make(map[string]int)}
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/log-newest", s.serveNewest)
	mux.HandleFunc("GET /v1/log-read", s.serveRead)
	s.server = &http.Server{Handler: mux}
	go s.server.Serve(listener)
	return s, nil
}

// put appends a record; it is acknowledged when put returns. A nil value drops the key.
func (s *store) put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topics[name]
	if _, known := t.newest[key]; !known {
		t.keys = append(t.keys, key)
	}
	t.newest[key] = len(t.records)
	t.records = append(t.records, record{key, value})
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) putJSON(name, key string, value any) {
	content, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.put(name, key, content)
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int    `json:"offset"`
	}
	time.Sleep(storeDelay)
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topics[r.URL.Query().Get("topic")]
	if t == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	items := []item{}
	for _, key := range t.keys {
		if n := t.newest[key]; len(t.records[n].value) > 0 {
			items = append(items, item{key, t.records[n].value, n})
		}
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "0")
	json.NewEncoder(w).Encode(map[string]any{"items": items, "more": false, "end": len(t.records)})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	waitMs, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timeout := time.After(time.Duration(waitMs) * time.Millisecond)
	w.Header().Set("Store-Era", "0")
	for {
		s.mu.Lock()
		t, changed := s.topics[r.URL.Query().Get("topic")], s.changed
		if t == nil || from > len(t.records) || from < 0 {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		found := t.records[from:]
		end := len(t.records)
		s.mu.Unlock()
		body := binary.BigEndian.AppendUint64(nil, uint64(end))
		body = binary.BigEndian.AppendUint64(body, 0)
		for _, f := range found {
			content := append([]byte{byte(len(f.key))}, f.key...)
			content = append(content, f.value...)
			body = binary.BigEndian.AppendUint32(body, uint32(len(content)))
			body = append(body, content...)
		}
		if len(found) > 0 {
			w.Write(body)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			w.Write(body)
			return
		case <-r.Context().Done():
			return
		}
	}
}
