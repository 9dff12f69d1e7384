// Package cvadmin implements the HTTP API that a balancer offers to operators.
package cvadmin

import (
	"encoding/json"
	"net/http"
	"net/http/pprof"
	"time"

	"google.golang.org/protobuf/proto"

	"comfreyvale"
	"comfreyvale/core/cvstatus"
	"comfreyvale/core/cvwire"
	"comfreyvale/io/operators/cvmetrics"
)

// Admin serves the HTTP API for operators. Its functions must be safe for concurrent use.
type Admin struct {
	// Ready reports whether the balancer accepts calls and, if not, the reason.
	Ready func() (reason string, ready bool)
	// Status returns the status of the balancer.
	Status func() cvstatus.Status
	// Checkpoint returns the configuration in force.
	Checkpoint func() *cvwire.Checkpoint
	// LiftQuarantine ends the quarantine of a fingerprint and reports whether there was one.
	LiftQuarantine func(fingerprint string) bool
	// Recorder returns the decisions that affected callers.
	Recorder comfreyvale.Recorder
	// Metrics serves the Prometheus metrics.
	Metrics *cvmetrics.Metrics
}

type decision struct {
	At        time.Time `json:"at"`
	Request   string    `json:"request"`
	Service   string    `json:"service"`
	Upstream  string    `json:"upstream,omitempty"`
	Cause     string    `json:"cause"`
	Condition string    `json:"condition,omitempty"`
	Setting   string    `json:"setting,omitempty"`
	Value     string    `json:"value,omitempty"`
	File      string    `json:"file,omitempty"`
	Line      int       `json:"line,omitempty"`
	Revision  string    `json:"revision,omitempty"`
	Author    string    `json:"author,omitempty"`
}

// Handler returns the handler of the API.
func (a *Admin) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ready", a.ready)
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, a.Status()) })
	mux.HandleFunc("GET /explain", a.explain)
	mux.HandleFunc("GET /configuration", a.configuration)
	mux.HandleFunc("DELETE /quarantines/{fingerprint}", a.lift)
	mux.Handle("GET /metrics", a.Metrics.Handler())
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	return mux
}

// ready responds with 200 if the balancer accepts calls, otherwise with 503 and the reason.
func (a *Admin) ready(w http.ResponseWriter, _ *http.Request) {
	reason, ready := a.Ready()
	if !ready {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, map[string]bool{"ready": true})
}

func (a *Admin) explain(w http.ResponseWriter, r *http.Request) {
	subject := r.URL.Query().Get("subject")
	if subject == "" {
		http.Error(w, "subject: is missing, allowed is a request id, an upstream or a service", http.StatusBadRequest)
		return
	}
	found := []decision{}
	for _, d := range a.Recorder.Explain(subject) {
		s := d.Setting()
		found = append(found, decision{
			d.At(), d.Request(), d.Service(), d.Upstream(), string(d.Cause()), d.Condition(),
			s.Path(), s.Value(), s.File(), s.Line(), s.Revision(), s.Author(),
		})
	}
	writeJSON(w, found)
}

func (a *Admin) configuration(w http.ResponseWriter, _ *http.Request) {
	body, err := proto.Marshal(a.Checkpoint())
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/x-protobuf")
	// The status has been sent, so a failed write affects this connection only.
	_, _ = w.Write(body)
}

func (a *Admin) lift(w http.ResponseWriter, r *http.Request) {
	if !a.LiftQuarantine(r.PathValue("fingerprint")) {
		http.Error(w, "there is no such quarantine", http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	// The status has been sent, so a failed write affects this connection only.
	_ = json.NewEncoder(w).Encode(value)
}
