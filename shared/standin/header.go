package standin

import (
	"net/http"
	"strings"
)

// Headers that the entry sends with each request.
const (
	RequestHeader   = "Request-Id"
	AttemptHeader   = "Attempt"
	WorkspaceHeader = "Workspace"
	PriorityHeader  = "Priority"
)

// FlatHeader joins each header's values, for keeping what was received.
func FlatHeader(h http.Header) map[string]string {
	flat := make(map[string]string, len(h))
	for name, values := range h {
		flat[name] = strings.Join(values, ", ")
	}
	return flat
}
