// Package document holds the operators' document: what is allowed to take effect.
package document

import "cowslipshunt.example/wire"

// Serves tells what stands behind an endpoint kind.
type Serves string

// The two things that an endpoint can serve.
const (
	ServesModel   Serves = "Model"
	ServesService Serves = "Service"
)

// Document is one accepted configuration.
type Document struct {
	Model        []Model
	EndpointKind []EndpointKind
	Fleet        []Fleet
	Route        []Route
	Workspace    []Workspace
}

// Model is a model in force. Prices are for a thousand tokens.
type Model struct {
	Name         wire.ModelName
	Version      wire.ModelVersion
	PromptPrice  wire.CostMicros
	OutputPrice  wire.CostMicros
	Repeatable   *bool
	MaxOutput    wire.TokenCount
	Capabilities []string
}

// EndpointKind is a kind of endpoint that may be ordered and used.
type EndpointKind struct {
	Name          wire.EndpointKindName
	Serves        Serves
	Model         wire.ModelName
	Service       wire.ServiceName
	Cheap         bool
	ChecksFencing bool
	// Concurrency bounds the requests in flight at one endpoint from one entry.
	Concurrency int
}

// Fleet is how many endpoints of a kind a failure domain runs.
type Fleet struct {
	Domain wire.DomainName
	Kind   wire.EndpointKindName
	Count  int
}

// Route says how a plain service's paths may be called. The longest matching prefix decides.
type Route struct {
	Service wire.ServiceName
	// Prefix is the start of the path behind /services/{service}.
	Prefix string
	// Method is empty for any method.
	Method     string
	Repeatable bool
	// Open routes need no key.
	Open bool
	// Price is charged for each request that ran.
	Price wire.CostMicros
}

// Workspace is one customer with its keys and limits.
type Workspace struct {
	Name     wire.WorkspaceName
	Models   []wire.ModelName
	Services []wire.ServiceName
	// Weight is the workspace's share in a queue; zero is one.
	Weight int
	// MaxConcurrent bounds requests in flight at one entry; zero is the default.
	MaxConcurrent int
	// MaxCostPerHour bounds the cost in any clock hour; zero is unbounded.
	MaxCostPerHour wire.CostMicros
	// KeyValidSeconds is how long keys stay valid where no accepted version can be confirmed; zero is for ever.
	KeyValidSeconds int
	Key             []Key
}

// Key is the digest of one API key.
type Key struct {
	Digest wire.Digest
	Label  string
}
