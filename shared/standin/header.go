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

// JoinHeaderValues returns each header with its values joined by commas, for the journal of received requests.
func JoinHeaderValues(h http.Header) map[string]string {
	joined := make(map[string]string, len(h))
	for name, values := range h {
		joined[name] = strings.Join(values, ", ")
	}
	return joined
}
