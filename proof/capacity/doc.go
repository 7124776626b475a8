// Package capacity holds the benchmarks that run the real programs: what an idle entry costs, and what it adds to a request.
package capacity
