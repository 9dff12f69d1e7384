// Package cvlogserver implements a stand-in for the platform's log service over HTTP.
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

const maxRecordBytes = 4 << 20

// Server serves a log. POST /control sets the faults of the log; POST and GET /control return the append count.
type Server struct {
	// Log is the served log.
	Log *cvmemlog.Log
}

// faults is the body of a control request. Each field that is not nil is passed to its setter of cvmemlog.Log.
type faults struct {
	Down          *bool  `json:"down"`
	DelayMs       *int64 `json:"delayMs"`
	LoseResponses *bool  `json:"loseAnswers"`
	MaxRecords    *int   `json:"keep"`
}

// Handler returns the HTTP handler of the server.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /streams/{stream}/records", s.append)
	mux.HandleFunc("GET /streams/{stream}/records", s.read)
	mux.HandleFunc("POST /control", s.control)
	mux.HandleFunc("GET /control", s.appendCount)
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
		writeError(w, err)
		return
	}
	writeJSON(w, map[string]int64{"offset": offset})
}

// writeError closes the connection without a response if the error is uncertain.
func writeError(w http.ResponseWriter, err error) {
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
		writeError(w, err)
		return
	}
	response := batch{First: b.StreamFirst(), Next: b.StreamNext()}
	for _, e := range b.Records() {
		response.Records = append(response.Records, record{Offset: e.Offset(), Body: e.Body()})
	}
	writeJSON(w, response)
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
	if f.LoseResponses != nil {
		s.Log.SetLoseResponses(*f.LoseResponses)
	}
	if f.MaxRecords != nil {
		s.Log.SetMaxRecords(*f.MaxRecords)
	}
	s.appendCount(w, r)
}

func (s *Server) appendCount(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, map[string]int64{"appends": s.Log.AppendCount()})
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	// The status has been sent, so a failed write affects this connection only.
	_ = json.NewEncoder(w).Encode(value)
}
