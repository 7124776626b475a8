package operator

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"cowslipshunt.example/entry/follower"
	"cowslipshunt.example/shared/problem"
	"cowslipshunt.example/wire"
)

const (
	// scanLimit is the most rows that one call of the store returns.
	scanLimit = 1000
	// defaultLimit and maxLimit bound the number of audit entries in an answer.
	defaultLimit = 200
	maxLimit     = 10000
)

var errNoDocument = errors.New("there is no such document")

// loadDocument returns an accepted document from the store. Version zero stands for the newest.
func (s *Server) loadDocument(ctx context.Context, version wire.DocumentVersion) (wire.DocumentAnswer, error) {
	key := keyCurrent
	if version > 0 {
		key = follower.VersionKey(version)
	}
	rows, err := s.store.Read(ctx, tableDocument, key)
	if err != nil {
		return wire.DocumentAnswer{}, err
	}
	if len(rows) == 0 {
		return wire.DocumentAnswer{}, errNoDocument
	}
	var row wire.DocumentRow
	if err := json.Unmarshal(rows[0].Value, &row); err != nil {
		return wire.DocumentAnswer{}, err
	}
	text, err := s.store.GetObject(ctx, row.Digest)
	if err != nil {
		return wire.DocumentAnswer{}, err
	}
	return wire.DocumentAnswer{Version: row.Version, Digest: row.Digest, Who: row.Who, Why: row.Why, At: row.At, Text: string(text)}, nil
}

func (s *Server) showDocument(w http.ResponseWriter, r *http.Request, _ string) {
	version, err := queryInt(r, "version", 0)
	if err != nil {
		problem.New(http.StatusBadRequest, problem.NotRun, "version: %v", err).Write(w)
		return
	}
	answer, err := s.loadDocument(r.Context(), wire.DocumentVersion(version))
	switch {
	case errors.Is(err, errNoDocument) && version == 0:
		writeJSON(w, http.StatusOK, wire.DocumentAnswer{})
	case errors.Is(err, errNoDocument):
		problem.New(http.StatusNotFound, problem.NotRun, "%v", err).Write(w)
	case err != nil:
		writeStoreError(w, err)
	default:
		writeJSON(w, http.StatusOK, answer)
	}
}

func (s *Server) showHistory(w http.ResponseWriter, r *http.Request, _ string) {
	s.showEntries(w, r, func(a wire.AuditRow) bool { return a.What == actionDocumentAccepted })
}

func (s *Server) showAudit(w http.ResponseWriter, r *http.Request, _ string) {
	s.showEntries(w, r, func(wire.AuditRow) bool { return true })
}

// showEntries answers with the newest audit entries that match, in order of time. The query parameter after excludes entries up to
// a time; limit bounds their number.
func (s *Server) showEntries(w http.ResponseWriter, r *http.Request, match func(wire.AuditRow) bool) {
	limit, err := queryInt(r, "limit", defaultLimit)
	if err != nil || limit < 1 || limit > maxLimit {
		problem.New(http.StatusBadRequest, problem.NotRun, "limit is no number from 1 to %d", maxLimit).Write(w)
		return
	}
	var after time.Time
	if text := r.URL.Query().Get("after"); text != "" {
		if after, err = time.Parse(time.RFC3339Nano, text); err != nil {
			problem.New(http.StatusBadRequest, problem.NotRun, "after: %v", err).Write(w)
			return
		}
	}
	entries, err := scanTable[wire.AuditRow](r.Context(), s, tableAudit)
	if err != nil {
		writeStoreError(w, err)
		return
	}
	list := wire.AuditList{Entries: []wire.AuditRow{}}
	for _, entry := range entries {
		if match(entry) && entry.At.After(after) {
			list.Entries = append(list.Entries, entry)
		}
	}
	if len(list.Entries) > limit {
		list.Entries = list.Entries[len(list.Entries)-limit:]
	}
	writeJSON(w, http.StatusOK, list)
}

func (s *Server) showOrders(w http.ResponseWriter, r *http.Request, _ string) {
	orders, err := scanTable[wire.OrderRow](r.Context(), s, "order")
	if err != nil {
		writeStoreError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, wire.OrderList{Orders: orders})
}

func (s *Server) showUsage(w http.ResponseWriter, r *http.Request, _ string) {
	windows, err := scanTable[wire.WindowRow](r.Context(), s, "window")
	if err != nil {
		writeStoreError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, wire.WindowList{Windows: windows})
}

// showStatus answers with the instances and endpoints as this entry has them in memory, and with the leases from the store. If the
// store cannot be read, the list of leases is empty.
func (s *Server) showStatus(w http.ResponseWriter, r *http.Request, _ string) {
	versions, _ := s.control.AppliedVersions()
	linked := map[wire.InstanceName]bool{s.self.Instance: true}
	for _, hello := range s.linked() {
		linked[hello.Instance] = true
	}
	answer := wire.StatusAnswer{
		Instance:        s.self.Instance,
		Domain:          s.self.Domain,
		DocumentVersion: s.current.Version(),
		Instances: []wire.InstanceStatus{{
			Instance: s.self.Instance, Domain: s.self.Domain, Program: wire.ProgramEntry, Connected: true, DocumentVersion: s.current.Version(),
		}},
		Endpoints: s.directory.States().Endpoints,
		Leases:    []wire.LeaseRow{},
	}
	for _, p := range s.peers {
		answer.Instances = append(answer.Instances, wire.InstanceStatus{
			Instance: p.Instance, Domain: p.Domain, Program: wire.ProgramEntry, Connected: linked[p.Instance], DocumentVersion: versions[p.Instance],
		})
	}
	if answer.Endpoints == nil {
		answer.Endpoints = []wire.EndpointState{}
	}
	if leases, err := scanTable[wire.LeaseRow](r.Context(), s, "lease"); err == nil {
		answer.Leases = leases
	}
	writeJSON(w, http.StatusOK, answer)
}

// scanTable returns all rows of a table in key order, decoded from JSON. It reads them in pages of scanLimit rows.
func scanTable[T any](ctx context.Context, s *Server, table string) ([]T, error) {
	list := []T{}
	after := ""
	for {
		rows, err := s.store.Scan(ctx, table, "", after, scanLimit)
		if err != nil {
			return nil, err
		}
		for _, row := range rows {
			var v T
			if err := json.Unmarshal(row.Value, &v); err != nil {
				return nil, err
			}
			list = append(list, v)
			after = row.Key
		}
		if len(rows) < scanLimit {
			return list, nil
		}
	}
}

// queryInt returns an integer query parameter, or defaultValue if it is not set.
func queryInt(r *http.Request, name string, defaultValue int) (int, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return defaultValue, nil
	}
	return strconv.Atoi(text)
}
