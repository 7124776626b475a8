// Package proof holds the tests that run the real programs under failure.
package proof
