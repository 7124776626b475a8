// Package proof holds end-to-end tests that run the real programs and inject faults into them and their connections.
package proof
