// Package capacity holds benchmarks that run the real programs. They measure the resources that an idle entry uses and the
// overhead that an entry adds to a request.
package capacity
