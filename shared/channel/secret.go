package channel

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"

	"cowslipshunt.example/shared/caller"
	"cowslipshunt.example/shared/problem"
	"github.com/VictoriaMetrics/metrics"
)

// MinSecretBytes is the least length of a secret.
const MinSecretBytes = 16

var strangersRefused = metrics.NewCounter("peer_refused_total")

// Secret is what the instances of one deployment share. It proves to an instance that a request comes from another instance of the same deployment.
type Secret string

// Option changes a new hub.
type Option func(*Hub)

// WithSecret sends a secret with each link that the hub dials.
func WithSecret(s Secret) Option {
	return func(h *Hub) {
		h.secret = s
	}
}

// Set puts the secret into a request's header.
func (s Secret) Set(h http.Header) {
	h.Set(caller.HeaderPeerSecret, string(s))
}

// Guard lets only requests that carry the secret through to next.
func (s Secret) Guard(next http.Handler) http.Handler {
	want := sha256.Sum256([]byte(s))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got := sha256.Sum256([]byte(r.Header.Get(caller.HeaderPeerSecret)))
		if s == "" || subtle.ConstantTimeCompare(got[:], want[:]) != 1 {
			strangersRefused.Inc()
			problem.New(http.StatusForbidden, problem.NotRun, "the peers' secret is missing or wrong").Write(w)
			return
		}
		next.ServeHTTP(w, r)
	})
}
