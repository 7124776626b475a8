// Package operator serves the operators' interface of an entry.
package operator

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"cowslipshunt.example/entry/peer"
	"cowslipshunt.example/shared/document"
	"cowslipshunt.example/shared/endpoint"
	"cowslipshunt.example/shared/platform"
	"cowslipshunt.example/shared/problem"
	"cowslipshunt.example/wire"
	"github.com/go-chi/chi/v5"
	"github.com/jonboulle/clockwork"
	"github.com/phuslu/log"
)

// Operator is who may use this interface.
type Operator struct {
	Name string
	// TokenDigest is the digest of the operator's bearer token.
	TokenDigest wire.Digest
}

// DocumentApplier puts an accepted document in force.
type DocumentApplier interface {
	Take(version wire.DocumentVersion, digest wire.Digest, text []byte) bool
}

// Server answers operators.
type Server struct {
	self      wire.Hello
	operators []Operator
	peers     []peer.Address
	store     *platform.Client
	current   *document.Current
	applier   DocumentApplier
	control   *peer.Control
	directory *endpoint.Directory
	linked    func() []wire.Hello
	clock     clockwork.Clock
	logger    *log.Logger
}

// Parts are what a server works with.
type Parts struct {
	Self      wire.Hello
	Operators []Operator
	Peers     []peer.Address
	Store     *platform.Client
	Current   *document.Current
	Taker     DocumentApplier
	Control   *peer.Control
	Directory *endpoint.Directory
	Linked    func() []wire.Hello
	Clock     clockwork.Clock
	Logger    *log.Logger
}

// NewServer returns a server for operators.
func NewServer(p Parts) *Server {
	return &Server{
		self:      p.Self,
		operators: p.Operators,
		peers:     p.Peers,
		store:     p.Store,
		current:   p.Current,
		applier:   p.Taker,
		control:   p.Control,
		directory: p.Directory,
		linked:    p.Linked,
		clock:     p.Clock,
		logger:    p.Logger,
	}
}

// Router returns the interface's routes.
func (s *Server) Router() http.Handler {
	router := chi.NewRouter()
	router.Get("/v1/document", s.authenticate(s.showDocument))
	router.Get("/v1/document/history", s.authenticate(s.showHistory))
	router.Post("/v1/document", s.authenticate(s.submit))
	router.Get("/v1/status", s.authenticate(s.showStatus))
	router.Get("/v1/audit", s.authenticate(s.showAudit))
	router.Get("/v1/orders", s.authenticate(s.showOrders))
	router.Get("/v1/usage", s.authenticate(s.showUsage))
	return router
}

// handler answers one operator's request.
type handler func(w http.ResponseWriter, r *http.Request, who string)

func (s *Server) authenticate(h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		digest := document.KeyDigest(strings.TrimSpace(token))
		for _, o := range s.operators {
			if o.TokenDigest == digest {
				h(w, r, o.Name)
				return
			}
		}
		problem.New(http.StatusUnauthorized, problem.NotRun, "the operator's token is missing or unknown").Write(w)
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// writeStoreError answers that the platform's store could not be asked.
func writeStoreError(w http.ResponseWriter, err error) {
	problem.New(http.StatusServiceUnavailable, problem.NotRun, "the platform's store cannot be asked: %v", err).After(storeRetryAfter).Write(w)
}

// storeRetryAfter is when an operator may try again while the store is down.
const storeRetryAfter = 5 * time.Second
