package setting

import (
	"os"

	"cowslipshunt.example/shared/finding"
)

// Checker is a settings struct that can check its values.
type Checker interface {
	// Check returns all findings; p gives their positions in the file.
	Check(p *Places) finding.List
}

// Load reads and checks a settings file. Its error is a finding.List: the findings of Decode, or those of the checks if the file
// could be decoded.
func Load(path string, into Checker) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return finding.List{{File: path, Text: err.Error()}}
	}
	places, list := Decode(path, data, into)
	if len(list) > 0 {
		return list.Err()
	}
	return into.Check(places).Err()
}
