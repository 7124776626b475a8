package document

import (
	"fmt"

	"github.com/pelletier/go-toml/v2"
)

// Encode returns a document as TOML, without zero fields and comments. If the document is valid, Parse of the result returns an
// equal document, where empty lists count as absent.
func Encode(d *Document) ([]byte, error) {
	text, err := toml.Marshal(d)
	if err != nil {
		return nil, fmt.Errorf("encode document: %w", err)
	}
	return text, nil
}
