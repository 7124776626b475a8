package document

import (
	"net/url"
	"strings"

	"cowslipshunt.example/wire"
)

// MayRepeat tells whether a request to the model may run again; a model is repeatable unless it says otherwise.
func (m Model) MayRepeat() bool {
	return m.Repeatable == nil || *m.Repeatable
}

// RouteFor returns the route for a call of a service; path is the part behind /services/{service}. The longest prefix
// that matches whole path segments decides, and of two equal prefixes the one that names the method. Without a match, or
// for a path that is not a PlainPath, the route is neither repeatable nor open and costs nothing; a caller that charges
// prices should refuse such a path instead.
func (x *Index) RouteFor(service wire.ServiceName, method, path string) Route {
	best := Route{Service: service}
	if !PlainPath(path) {
		return best
	}
	for _, r := range x.routes[service] {
		if r.matches(method, path) && r.beats(best) {
			best = r
		}
	}
	return best
}

func (r Route) matches(method, path string) bool {
	if r.Method != "" && r.Method != method {
		return false
	}
	rest, ok := strings.CutPrefix(path, strings.TrimSuffix(r.Prefix, "/"))
	return ok && (rest == "" || rest[0] == '/')
}

func (r Route) beats(other Route) bool {
	if len(r.Prefix) != len(other.Prefix) {
		return len(r.Prefix) > len(other.Prefix)
	}
	return r.Method != "" && other.Method == ""
}

// PlainPath tells whether every reader of a path, decoded or not, sees the same segments: none is empty, "." or "..",
// also when decoded once more, and there is no backslash. A '/' at the end is allowed.
func PlainPath(path string) bool {
	decoded, err := url.PathUnescape(path)
	if err != nil || !strings.HasPrefix(path, "/") {
		return false
	}
	return strings.Count(decoded, "/") == strings.Count(path, "/") && plainSegments(decoded)
}

func plainSegments(path string) bool {
	if path == "/" {
		return true
	}
	for segment := range strings.SplitSeq(strings.TrimSuffix(path, "/")[1:], "/") {
		if segment == "" || segment == "." || segment == ".." || strings.Contains(segment, `\`) {
			return false
		}
	}
	return true
}
