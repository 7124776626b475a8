package document

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
)

// methods are the HTTP methods that a route may name.
var methods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
	http.MethodPatch, http.MethodDelete, http.MethodOptions,
}

func (c *checker) checkRoutes() {
	seen := firstSeen[string]{}
	for i, r := range c.d.Route {
		field := elementPath("Route", i)
		if r.Service == "" {
			c.AddFinding(field+".Service", "is missing")
		} else {
			c.checkService(field+".Service", r.Service)
		}
		if r.Method != "" && !slices.Contains(methods, r.Method) {
			c.AddFinding(field+".Method", "%q is not one of %v", r.Method, methods)
		}
		c.checkPrefix(field+".Prefix", r.Prefix)
		checkNotNegative(c, field+".Price", r.Price)
		checkUnique(c, seen, field+".Prefix", fmt.Sprintf("route %s", r.displayName()))
	}
}

func (c *checker) checkPrefix(field, prefix string) {
	switch {
	case prefix == "":
		c.AddFinding(field, "is missing")
	case !strings.HasPrefix(prefix, "/"):
		c.AddFinding(field, "%q does not start with '/'", prefix)
	case prefix != "/" && strings.HasSuffix(prefix, "/"):
		c.AddFinding(field, "%q ends with '/'", prefix)
	case strings.ContainsFunc(prefix, invalidInPrefix):
		c.AddFinding(field, "%q may contain only printable ASCII other than '%%', '?', '#', '\\' and space", prefix)
	case !IsCanonicalPath(prefix):
		c.AddFinding(field, "%q has an empty, '.' or '..' segment", prefix)
	}
}

// invalidInPrefix reports whether a character may not occur in a prefix.
func invalidInPrefix(r rune) bool {
	return r <= ' ' || r > '~' || strings.ContainsRune(`%?#\`, r)
}

// displayName identifies a route by its service, method and prefix.
func (r Route) displayName() string {
	method := r.Method
	if method == "" {
		method = "any"
	}
	return fmt.Sprintf("%s %s %s", r.Service, method, r.Prefix)
}
