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

// FlatHeader returns each header with its values joined by commas, for the journal of received requests.
func FlatHeader(h http.Header) map[string]string {
	flat := make(map[string]string, len(h))
	for name, values := range h {
		flat[name] = strings.Join(values, ", ")
	}
	return flat
}
