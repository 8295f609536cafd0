package api

import "net/http"

// Health is the JSON of /healthz and /readyz.
type Health struct {
	State State `json:"state"`
	Ready bool  `json:"ready"`
}

// health answers 200 as long as the process serves HTTP.
func (s *Server) health(writer http.ResponseWriter, _ *http.Request) {
	state := s.state()
	writeJSON(writer, http.StatusOK, Health{State: state, Ready: state == StateServing})
}

// ready answers 200 only while requests are accepted.
func (s *Server) ready(writer http.ResponseWriter, _ *http.Request) {
	state := s.state()
	status := http.StatusServiceUnavailable
	if state == StateServing {
		status = http.StatusOK
	}
	writeJSON(writer, status, Health{State: state, Ready: state == StateServing})
}
