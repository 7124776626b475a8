package main

import (
	"os"
	"slices"
	"time"

	"cowslipshunt.example/platform"
	"github.com/VictoriaMetrics/metrics"
)

// settingsFile detects changes of the settings file by its modification time and size.
type settingsFile struct {
	path    string
	modTime time.Time
	size    int64
}

// newSettingsFile records the present state of the file. With an empty path, changed always returns false.
func newSettingsFile(path string) *settingsFile {
	f := &settingsFile{path: path}
	f.changed()
	return f
}

// changed reports whether the file was written since the last call. A file that cannot be read counts as unchanged, as it may be
// missing for a moment while it is being replaced.
func (f *settingsFile) changed() bool {
	info, err := os.Stat(f.path)
	if err != nil || info.ModTime().Equal(f.modTime) && info.Size() == f.size {
		return false
	}
	f.modTime, f.size = info.ModTime(), info.Size()
	return true
}

// reload reads the settings file again and applies the settings that can change at run time. If the file has findings, the
// settings in force stay.
func (n *node) reload(reason string) {
	n.file.changed()
	s, err := platform.LoadSettings(n.file.path)
	if err != nil {
		metrics.GetOrCreateCounter("router_settings_rejected_total").Inc()
		n.logger.Error().Str("Reason", reason).Str("File", n.file.path).Err(err).Msg("SettingsRejected")
		return
	}
	atStart, live := n.settings.Load().Changed(s)
	n.settings.Store(s)
	n.updateRetryBudget()
	n.logger.Info().Str("Reason", reason).Str("File", n.file.path).Strs("InForce", slices.Sorted(slices.Values(live))).
		Strs("AtNextStart", slices.Sorted(slices.Values(atStart))).Msg("Reloaded")
}
