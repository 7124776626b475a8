// Package wire holds the types on the wire, generated from schema/wire.json.
package wire
