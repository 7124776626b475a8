package document

import (
	"net/url"
	"strings"

	"cowslipshunt.example/wire"
)

// IsRepeatable reports whether a request to the model may be executed more than once, which is the default.
func (m Model) IsRepeatable() bool {
	return m.Repeatable == nil || *m.Repeatable
}

// RouteFor returns the route that applies to a request to a service; path is the part after /services/{service}. The route with
// the longest prefix that matches whole path segments wins; of two routes with the same prefix, the one with a method wins.
// Without a match, or for a path that is not canonical, the route is neither repeatable nor open and its price is zero; a
// caller that charges prices should reject such a path instead.
func (x *Index) RouteFor(service wire.ServiceName, method, path string) Route {
	best := Route{Service: service}
	if !IsCanonicalPath(path) {
		return best
	}
	for _, r := range x.routes[service] {
		if r.matches(method, path) && r.moreSpecificThan(best) {
			best = r
		}
	}
	return best
}

// matches reports whether the route applies to a request.
func (r Route) matches(method, path string) bool {
	if r.Method != "" && r.Method != method {
		return false
	}
	rest, ok := strings.CutPrefix(path, strings.TrimSuffix(r.Prefix, "/"))
	return ok && (rest == "" || rest[0] == '/')
}

// moreSpecificThan reports whether the route takes precedence over another one that matches too.
func (r Route) moreSpecificThan(other Route) bool {
	if len(r.Prefix) != len(other.Prefix) {
		return len(r.Prefix) > len(other.Prefix)
	}
	return r.Method != "" && other.Method == ""
}

// IsCanonicalPath reports whether a path has the same segments whether or not a server percent-decodes it: no segment is empty,
// "." or "..", also after decoding the path once more, and there is no backslash or encoded '/'. A trailing '/' is allowed.
func IsCanonicalPath(path string) bool {
	decoded, err := url.PathUnescape(path)
	if err != nil || !strings.HasPrefix(path, "/") {
		return false
	}
	return strings.Count(decoded, "/") == strings.Count(path, "/") && hasCanonicalSegments(decoded)
}

func hasCanonicalSegments(path string) bool {
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
