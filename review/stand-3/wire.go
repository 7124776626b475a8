package main

import (
	_ "embed"
	"encoding/json"
)

// The names, settings and configuration of the platform are in files of their own.
var (
	//go:embed wire/words.json
	wordsText []byte
	// settingsText is the settings file of a machine, with words in capitals in place of what differs.
	//go:embed wire/settings.conf
	settingsText string
	// configurationText is a small configuration: streams of model engines, bookings and look-ups.
	//go:embed wire/configuration.json
	configurationText string
)

// words are names of header fields and paths.
var words = func() (w struct {
	RequestID, Seal, Weights, ExpectedID, InstanceID, NotRun, Stage, Deadline, Model, Tokens, Parts string
	OrderPath, ReadyPath                                                                            string
}) {
	if err := json.Unmarshal(wordsText, &w); err != nil {
		panic(err)
	}
	return w
}()
