package document

import (
	"fmt"

	"github.com/pelletier/go-toml/v2"
)

// Encode writes a document as TOML without zero fields and comments. Parse gives an equal document back if d is one that
// Parse accepts; empty lists count as absent.
func Encode(d *Document) ([]byte, error) {
	text, err := toml.Marshal(d)
	if err != nil {
		return nil, fmt.Errorf("encode document: %w", err)
	}
	return text, nil
}
