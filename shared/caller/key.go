// Package caller handles callers' requests and answers: it reads API keys and bodies, removes keys and reserved headers from what
// is passed on to endpoints, and passes streams on to callers.
package caller

import (
	"net/http"
	"net/url"
	"strings"
)

// Headers of this system. Those in internalHeaders reach endpoints only with values that this system has set.
const (
	HeaderRequest   = "Request-Id"
	HeaderAttempt   = "Attempt"
	HeaderWorkspace = "Workspace"
	HeaderPriority  = "Priority"
	HeaderOutcome   = "Outcome"
	// HeaderPeerSecret carries the secret that instances share. It is sent to peers only.
	HeaderPeerSecret = "Peer-Secret"
	// HeaderIdempotency carries the idempotency key of a request that a caller may send again.
	HeaderIdempotency = "Idempotency-Key"
)

// keyHeaders are the headers that may carry a caller's key or the peer secret. None of them is passed on.
var keyHeaders = []string{"Authorization", "X-Api-Key", "Api-Key", "Proxy-Authorization", HeaderPeerSecret}

// internalHeaders are reserved for this system and removed from callers' requests.
var internalHeaders = []string{HeaderRequest, HeaderAttempt, HeaderWorkspace, HeaderPriority, HeaderOutcome}

// hopByHopHeaders apply to a single connection and are not passed on.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// bearerScheme is the authentication scheme of keys; its case does not matter.
const bearerScheme = "Bearer"

// Key returns a request's API key, or an empty string if it has none.
func Key(r *http.Request) string {
	scheme, key, found := strings.Cut(r.Header.Get("Authorization"), " ")
	if found && strings.EqualFold(scheme, bearerScheme) {
		return strings.TrimSpace(key)
	}
	return r.Header.Get("X-Api-Key")
}

// ForwardableHeader returns a copy of a caller's header that may be passed on: without the headers meant for keys, without other
// headers and cookies that contain the key, without hop-by-hop headers and without the headers that are reserved for this system.
func ForwardableHeader(in http.Header, key string) http.Header {
	out := in.Clone()
	for _, listed := range in.Values("Connection") {
		for name := range strings.SplitSeq(listed, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, names := range [][]string{keyHeaders, internalHeaders, hopByHopHeaders} {
		for _, name := range names {
			out.Del(name)
		}
	}
	if key == "" {
		return out
	}
	removeKeyCookies(out, key)
	for name, values := range out {
		for _, value := range values {
			if ContainsKey(value, key) || ContainsKey(name, key) {
				out.Del(name)
				break
			}
		}
	}
	return out
}

// removeKeyCookies removes the cookies that contain the key.
func removeKeyCookies(h http.Header, key string) {
	var kept []string
	for _, line := range h.Values("Cookie") {
		for cookie := range strings.SplitSeq(line, ";") {
			cookie = strings.TrimSpace(cookie)
			if cookie != "" && !ContainsKey(cookie, key) {
				kept = append(kept, cookie)
			}
		}
	}
	h.Del("Cookie")
	if len(kept) > 0 {
		h.Set("Cookie", strings.Join(kept, "; "))
	}
}

// QueryWithoutKey returns a raw query without the parameters that contain the key.
func QueryWithoutKey(raw, key string) string {
	if raw == "" || key == "" {
		return raw
	}
	var kept []string
	for part := range strings.SplitSeq(raw, "&") {
		if !ContainsKey(part, key) {
			kept = append(kept, part)
		}
	}
	return strings.Join(kept, "&")
}

// ContainsKey reports whether a text contains the key, plain or percent-encoded, in any letter case. It is false for an empty key.
func ContainsKey(text, key string) bool {
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
