// Package caller keeps callers' keys and headers apart from what endpoints may see.
package caller

import (
	"net/http"
	"net/url"
	"strings"
)

// Headers that only this system may set towards endpoints.
const (
	HeaderRequest   = "Request-Id"
	HeaderAttempt   = "Attempt"
	HeaderWorkspace = "Workspace"
	HeaderPriority  = "Priority"
	HeaderOutcome   = "Outcome"
	// HeaderPeerSecret carries the secret that instances share; only peers get it.
	HeaderPeerSecret = "Peer-Secret"
	// HeaderIdempotency names a request that a caller may send again.
	HeaderIdempotency = "Idempotency-Key"
)

// keyHeaders are where callers may put their key; none is sent on.
var keyHeaders = []string{"Authorization", "X-Api-Key", "Api-Key", "Proxy-Authorization", HeaderPeerSecret}

// ownHeaders are dropped from what callers send.
var ownHeaders = []string{HeaderRequest, HeaderAttempt, HeaderWorkspace, HeaderPriority, HeaderOutcome}

// hopHeaders end at the next hop.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// scheme is the authentication scheme of keys; its case does not matter.
const scheme = "Bearer"

// Key returns the key of a request, or an empty text.
func Key(r *http.Request) string {
	name, key, found := strings.Cut(r.Header.Get("Authorization"), " ")
	if found && strings.EqualFold(name, scheme) {
		return strings.TrimSpace(key)
	}
	return r.Header.Get("X-Api-Key")
}

// CleanHeader returns what of a caller's header may be sent on: no key in any header or cookie, no hop's own header and
// none of this system's.
func CleanHeader(in http.Header, key string) http.Header {
	out := in.Clone()
	for _, listed := range in.Values("Connection") {
		for name := range strings.SplitSeq(listed, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, names := range [][]string{keyHeaders, ownHeaders, hopHeaders} {
		for _, name := range names {
			out.Del(name)
		}
	}
	if key == "" {
		return out
	}
	cleanCookies(out, key)
	for name, values := range out {
		for _, value := range values {
			if Holds(value, key) || Holds(name, key) {
				out.Del(name)
				break
			}
		}
	}
	return out
}

// cleanCookies keeps the cookies that do not hold the key.
func cleanCookies(h http.Header, key string) {
	var kept []string
	for _, line := range h.Values("Cookie") {
		for cookie := range strings.SplitSeq(line, ";") {
			cookie = strings.TrimSpace(cookie)
			if cookie != "" && !Holds(cookie, key) {
				kept = append(kept, cookie)
			}
		}
	}
	h.Del("Cookie")
	if len(kept) > 0 {
		h.Set("Cookie", strings.Join(kept, "; "))
	}
}

// CleanQuery returns a raw query without the parameters that hold the key.
func CleanQuery(raw, key string) string {
	if raw == "" || key == "" {
		return raw
	}
	var kept []string
	for part := range strings.SplitSeq(raw, "&") {
		if !Holds(part, key) {
			kept = append(kept, part)
		}
	}
	return strings.Join(kept, "&")
}

// Holds tells whether a text holds the key, plain or percent-encoded.
func Holds(text, key string) bool {
	if key == "" {
		return false
	}
	if containsFold(text, key) {
		return true
	}
	plain, err := url.QueryUnescape(text)
	return err == nil && containsFold(plain, key)
}

func containsFold(text, key string) bool {
	return strings.Contains(strings.ToLower(text), strings.ToLower(key))
}
