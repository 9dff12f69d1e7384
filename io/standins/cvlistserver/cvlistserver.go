// Package cvlistserver implements a stand-in for the platform's VM list over HTTP.
package cvlistserver

import (
	"encoding/json"
	"net/http"

	"comfreyvale"
	"comfreyvale/io/standins/cvmemlist"
)

// Server serves a VM list: GET /vms returns it, PUT /vms/{name} adds or replaces a VM, DELETE /vms/{name} removes it.
type Server struct {
	// VMList is the served list.
	VMList *cvmemlist.List
}

type vm struct {
	Name       string `json:"name"`
	Group      string `json:"group"`
	DataCentre string `json:"dataCentre"`
	Address    string `json:"address"`
	Leaving    bool   `json:"leaving"`
}

// Handler returns the HTTP handler of the server.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /vms", s.list)
	mux.HandleFunc("PUT /vms/{name}", s.put)
	mux.HandleFunc("DELETE /vms/{name}", s.remove)
	return mux
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	vms, err := s.VMList.List(r.Context())
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	response := make([]vm, 0, len(vms))
	for _, v := range vms {
		response = append(response, vm{v.Name(), v.Group(), v.DataCentre(), v.Address(), v.Leaving()})
	}
	w.Header().Set("Content-Type", "application/json")
	// The status has been sent, so a failed write affects this connection only.
	_ = json.NewEncoder(w).Encode(response)
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	var v vm
	if err := json.NewDecoder(r.Body).Decode(&v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.VMList.Put(comfreyvale.NewVM(r.PathValue("name"), v.Group, v.DataCentre, v.Address, v.Leaving))
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request) {
	s.VMList.Remove(r.PathValue("name"))
	w.WriteHeader(http.StatusNoContent)
}
