package platform

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"github.com/fieldpond/fieldpond/internal/store/protocol"
)

const (
	contentTypeJSON  = "application/json"
	contentTypeLines = "application/x-ndjson"
	contentTypeBytes = "application/octet-stream"
)

// maxListLimit bounds one prefix read.
const maxListLimit = 10000

func jsonReply(value any) reply {
	encoded, err := json.Marshal(value)
	if err != nil {
		return textReply(http.StatusInternalServerError, err.Error())
	}
	return reply{status: http.StatusOK, contentType: contentTypeJSON, body: encoded}
}

func textReply(status int, text string) reply {
	return reply{status: status, contentType: "text/plain", body: []byte(text)}
}

// pathVariable returns an unescaped path variable.
func pathVariable(r *http.Request, name string) string {
	escaped := mux.Vars(r)[name]
	plain, err := url.PathUnescape(escaped)
	if err != nil {
		return escaped
	}
	return plain
}

func (s *Server) commit(_ *http.Request, body []byte) reply {
	var transaction protocol.Transaction
	if err := json.Unmarshal(body, &transaction); err != nil {
		return textReply(http.StatusBadRequest, "malformed transaction: "+err.Error())
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	result, err := s.table.Apply(transaction)
	if err != nil {
		return textReply(http.StatusBadRequest, err.Error())
	}
	if result.Committed {
		s.history.add(time.Now(), transaction, result)
	}
	return jsonReply(result)
}

func (s *Server) readRow(r *http.Request, _ []byte) reply {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	row, exists := s.table.Read(pathVariable(r, "key"))
	if !exists {
		return textReply(http.StatusNotFound, "no such row")
	}
	return jsonReply(row)
}

func (s *Server) listRows(r *http.Request, _ []byte) reply {
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit <= 0 || limit > maxListLimit {
		return textReply(http.StatusBadRequest, fmt.Sprintf("limit must be from 1 to %d", maxListLimit))
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return jsonReply(s.table.List(query.Get("prefix"), limit))
}

func (s *Server) putObject(r *http.Request, body []byte) reply {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.objects[objectName{zone: pathVariable(r, "zone"), key: pathVariable(r, "key")}] = body
	return reply{status: http.StatusNoContent}
}

func (s *Server) getObject(r *http.Request, _ []byte) reply {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	data, exists := s.objects[objectName{zone: pathVariable(r, "zone"), key: pathVariable(r, "key")}]
	if !exists {
		return textReply(http.StatusNotFound, "no such object")
	}
	return reply{status: http.StatusOK, contentType: contentTypeBytes, body: data}
}

// fetchWeights responds after the simulated transfer time with a small body
// that names the version.
func (s *Server) fetchWeights(r *http.Request, _ []byte) reply {
	if s.options.WeightGigabytesPerSecond > 0 {
		seconds := s.options.WeightGigabytes / s.options.WeightGigabytesPerSecond
		select {
		case <-time.After(time.Duration(seconds * float64(time.Second))):
		case <-r.Context().Done():
			return textReply(http.StatusServiceUnavailable, "the client cancelled the request")
		}
	}
	name := "weights of " + pathVariable(r, "model") + " " + pathVariable(r, "version")
	return reply{status: http.StatusOK, contentType: contentTypeBytes, body: []byte(name)}
}

func (s *Server) listMachines(*http.Request, []byte) reply {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return jsonReply(s.machines.Visible(time.Now()))
}

func (s *Server) replaceMachines(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, "the body is incomplete or too large", http.StatusRequestEntityTooLarge)
		return
	}
	machines, err := decodeMachines(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.machines.Replace(machines, time.Now())
	w.WriteHeader(http.StatusNoContent)
}

// History returns the truth log of the table.
func (s *Server) History() []Commit {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.history.commits[:len(s.history.commits):len(s.history.commits)]
}

func (s *Server) serveHistory(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", contentTypeLines)
	encoder := json.NewEncoder(w)
	for _, commit := range s.History() {
		if encoder.Encode(commit) != nil {
			return
		}
	}
}
