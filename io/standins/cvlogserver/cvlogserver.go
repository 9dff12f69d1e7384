// Package cvlogserver is the stand-in for the platform's log service, over HTTP.
package cvlogserver

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"comfreyvale/core/cvfault"
	"comfreyvale/io/standins/cvmemlog"

	"comfreyvale"
)

// maxRecordBytes is the size of the largest record.
const maxRecordBytes = 4 << 20

// Server serves a log in memory, and the switches of its faults below /control.
type Server struct {
	// Log holds the streams.
	Log *cvmemlog.Log
}

// Faults are the switches that a test sets.
type faults struct {
	Down        *bool  `json:"down"`
	DelayMs     *int64 `json:"delayMs"`
	LoseAnswers *bool  `json:"loseAnswers"`
	Keep        *int   `json:"keep"`
}

// Handler returns the server's HTTP handler.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /streams/{stream}/records", s.append)
	mux.HandleFunc("GET /streams/{stream}/records", s.read)
	mux.HandleFunc("POST /control", s.control)
	mux.HandleFunc("GET /control", s.count)
	return mux
}

func (s *Server) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecordBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	offset, err := s.Log.Append(r.Context(), r.PathValue("stream"), body)
	if err != nil {
		refuse(w, err)
		return
	}
	reply(w, map[string]int64{"offset": offset})
}

// refuse answers an error; an uncertain one gets no answer at all.
func refuse(w http.ResponseWriter, err error) {
	if cvfault.KindOf(err) == comfreyvale.KindUncertain {
		panic(http.ErrAbortHandler)
	}
	http.Error(w, err.Error(), http.StatusServiceUnavailable)
}

type record struct {
	Offset int64  `json:"offset"`
	Body   []byte `json:"body"`
}

type batch struct {
	First   int64    `json:"first"`
	Next    int64    `json:"next"`
	Records []record `json:"records"`
}

func (s *Server) read(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.FormValue("from"), 10, 64)
	if err != nil {
		http.Error(w, "from: "+err.Error(), http.StatusBadRequest)
		return
	}
	waitMs, err := strconv.ParseInt(r.FormValue("waitMs"), 10, 64)
	if err != nil {
		http.Error(w, "waitMs: "+err.Error(), http.StatusBadRequest)
		return
	}
	b, err := s.Log.Read(r.Context(), r.PathValue("stream"), from, time.Duration(waitMs)*time.Millisecond)
	if err != nil {
		refuse(w, err)
		return
	}
	answer := batch{First: b.StreamFirst(), Next: b.StreamNext()}
	for _, e := range b.Records() {
		answer.Records = append(answer.Records, record{Offset: e.Offset(), Body: e.Body()})
	}
	reply(w, answer)
}

func (s *Server) control(w http.ResponseWriter, r *http.Request) {
	var f faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if f.Down != nil {
		s.Log.SetDown(*f.Down)
	}
	if f.DelayMs != nil {
		s.Log.SetDelay(time.Duration(*f.DelayMs) * time.Millisecond)
	}
	if f.LoseAnswers != nil {
		s.Log.SetLoseResponses(*f.LoseAnswers)
	}
	if f.Keep != nil {
		s.Log.SetMaxRecords(*f.Keep)
	}
	s.count(w, r)
}

func (s *Server) count(w http.ResponseWriter, _ *http.Request) {
	reply(w, map[string]int64{"appends": s.Log.AppendCount()})
}

func reply(w http.ResponseWriter, answer any) {
	w.Header().Set("Content-Type", "application/json")
	// The status line is out, so that a failed write only concerns the connection.
	_ = json.NewEncoder(w).Encode(answer)
}
